//! Budgets of programs: turns, tokens and time.
//!
//! *Load pattern:* a program that loops forever, or that starts sub-agents which do.
//!
//! *Without it:* one such program uses engine time until somebody notices. Checking only after each
//! turn is not enough: concurrent turns of several sub-agents would each see the same remaining
//! budget and overdraw it together.
//!
//! *Rule:* a turn reserves its worst case before it runs, and the unused part is returned when the
//! reservation is settled. A sub-agent draws on a loan that its parent's ledger has reserved, so
//! the two may be kept by different processes and still never exceed the parent's limits.
//!
//! *Grounds:* the operator sets the limits; the module has no figures of its own.

use std::time::Duration;

use fw_base::error;
use fw_base::id;

/// Limits of a program; `None` means unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Turns.
    pub turns: Option<id::Turn>,
    /// Tokens, prompt and completion.
    pub tokens: Option<id::Tokens>,
    /// Time from the program's start.
    pub time: Option<Duration>,
}

/// An amount of turns and tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Amount {
    /// Turns.
    pub turns: id::Turn,
    /// Tokens, prompt and completion.
    pub tokens: id::Tokens,
}

/// The limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// No turns left.
    Turns {
        /// The limit.
        limit: id::Turn,
    },
    /// Fewer tokens left than the turn may need.
    Tokens {
        /// The limit.
        limit: id::Tokens,
        /// Tokens left.
        left: id::Tokens,
        /// Tokens that the turn may need.
        needed: id::Tokens,
    },
    /// No time left.
    Time {
        /// The limit.
        limit: Duration,
    },
}

/// A reserved part of a budget. It stays reserved until it is settled.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled stays reserved"]
pub struct Reservation(Amount);

/// Spending and reservations of a program.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    started: Duration,
    spent: Amount,
    reserved: Amount,
}

impl Exhausted {
    /// Error kind of the answer.
    pub const KIND: error::Kind = error::Kind::BudgetExhausted;

    /// The answer to the caller: which limit was reached, its value and what to do about it.
    pub fn to_error(self) -> error::Error {
        let message = match self {
            Self::Turns { limit } => {
                format!("the program used its {limit} turns; start a new program")
            }
            Self::Tokens {
                limit,
                left,
                needed,
            } => format!(
                "the program has {left} of {limit} tokens left and the turn may need {needed}; \
                 lower `max_tokens` or start a new program"
            ),
            Self::Time { limit } => format!(
                "the program used its {} s of time; start a new program",
                limit.as_secs()
            ),
        };
        error::Error::new(Self::KIND, message)
    }
}

impl Reservation {
    /// The reserved amount.
    pub fn amount(&self) -> Amount {
        self.0
    }
}

impl Ledger {
    /// Creates the ledger of a program that started at `started` and has spent `spent` according to
    /// its journal.
    pub fn new(limits: Limits, started: Duration, spent: Amount) -> Self {
        Self {
            limits,
            started,
            spent,
            reserved: Amount::default(),
        }
    }

    /// Reserves one turn that needs at most `tokens`.
    ///
    /// # Errors
    ///
    /// If a limit would be exceeded should every reservation be used in full.
    pub fn reserve(&mut self, now: Duration, tokens: id::Tokens) -> Result<Reservation, Exhausted> {
        self.reserve_amount(now, Amount { turns: 1, tokens })
    }

    /// Reserves `amount` for a sub-agent. Settle it with the sub-agent's spending at its end.
    ///
    /// # Errors
    ///
    /// As [`Self::reserve`].
    pub fn lend(&mut self, now: Duration, amount: Amount) -> Result<Reservation, Exhausted> {
        self.reserve_amount(now, amount)
    }

    /// The limits of a sub-agent that holds `loan`. Its time ends with its parent's.
    pub fn loan_limits(&self, now: Duration, loan: &Reservation) -> Limits {
        let left = |time: Duration| (self.started + time).saturating_sub(now);
        Limits {
            turns: Some(loan.0.turns),
            tokens: Some(loan.0.tokens),
            time: self.limits.time.map(left),
        }
    }

    /// Records what was used of a reservation and releases the rest. Use beyond the reservation is
    /// recorded in full; the caller bounds it by passing the reserved tokens on as `max_tokens`.
    pub fn settle(&mut self, reservation: Reservation, used: Amount) {
        let Reservation(set_aside) = reservation;
        self.reserved.turns = self.reserved.turns.saturating_sub(set_aside.turns);
        self.reserved.tokens = self.reserved.tokens.saturating_sub(set_aside.tokens);
        self.spent.turns = self.spent.turns.saturating_add(used.turns);
        self.spent.tokens = self.spent.tokens.saturating_add(used.tokens);
    }

    /// Spending so far.
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Tokens neither spent nor reserved; `None` if unlimited.
    pub fn tokens_left(&self) -> Option<id::Tokens> {
        let used = self.spent.tokens.saturating_add(self.reserved.tokens);
        self.limits.tokens.map(|limit| limit.saturating_sub(used))
    }

    fn turns_left(&self) -> Option<id::Turn> {
        let used = self.spent.turns.saturating_add(self.reserved.turns);
        self.limits.turns.map(|limit| limit.saturating_sub(used))
    }

    fn reserve_amount(&mut self, now: Duration, amount: Amount) -> Result<Reservation, Exhausted> {
        self.check_time(now)?;
        if let (Some(left), Some(limit)) = (self.turns_left(), self.limits.turns)
            && left < amount.turns
        {
            return Err(Exhausted::Turns { limit });
        }
        if let (Some(left), Some(limit)) = (self.tokens_left(), self.limits.tokens)
            && left < amount.tokens
        {
            return Err(Exhausted::Tokens {
                limit,
                left,
                needed: amount.tokens,
            });
        }
        self.reserved.turns = self.reserved.turns.saturating_add(amount.turns);
        self.reserved.tokens = self.reserved.tokens.saturating_add(amount.tokens);
        Ok(Reservation(amount))
    }

    fn check_time(&self, now: Duration) -> Result<(), Exhausted> {
        match self.limits.time {
            Some(limit) if now.saturating_sub(self.started) >= limit => {
                Err(Exhausted::Time { limit })
            }
            _ => Ok(()),
        }
    }
}
