//! Budgets of programs: turns, tokens and time.
//!
//! *Load pattern:* a program that loops for ever, or that starts sub-agents which do.
//!
//! *Without it:* one such program uses engine time until somebody notices. Checking only after
//! each turn is not enough: turns of several sub-agents under way together would each see the
//! same rest and overdraw it together.
//!
//! *Rule:* a turn reserves its worst case before it runs, and the difference is given back when
//! it is settled. A sub-agent draws on a loan that its parent's ledger reserved, so the two may
//! be kept by different processes and still never exceed the parent's limits.
//!
//! *Grounds:* the bounds are the operator's; the module has no figures of its own.

use std::time::Duration;

use fw_base::error;
use fw_base::id;

/// What a program may use; `None` sets no bound.
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

/// Which bound was met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exhausted {
    /// No turns left.
    Turns {
        /// The bound.
        limit: id::Turn,
    },
    /// Fewer tokens left than the turn may need.
    Tokens {
        /// The bound.
        limit: id::Tokens,
        /// What is left of it.
        left: id::Tokens,
        /// What the turn may need.
        needed: id::Tokens,
    },
    /// No time left.
    Time {
        /// The bound.
        limit: Duration,
    },
}

/// A part of a budget that is set aside. Settle it, or it stays reserved.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a reservation that is not settled stays reserved"]
pub struct Reservation(Amount);

/// What a program has spent and set aside.
#[derive(Clone, Debug)]
pub struct Ledger {
    limits: Limits,
    started: Duration,
    spent: Amount,
    reserved: Amount,
}

impl Exhausted {
    /// The kind to answer with.
    pub const KIND: error::Kind = error::Kind::BudgetExhausted;

    /// The answer, with the field, its bound and the way out.
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
    /// What is set aside.
    pub fn amount(&self) -> Amount {
        self.0
    }
}

impl Ledger {
    /// A ledger of a program that started at `started` and has spent `spent`, as its journal says.
    pub fn new(limits: Limits, started: Duration, spent: Amount) -> Self {
        Self {
            limits,
            started,
            spent,
            reserved: Amount::default(),
        }
    }

    /// Sets aside one turn that needs at most `tokens`.
    ///
    /// # Errors
    ///
    /// When a bound would be exceeded if every reservation were used whole.
    pub fn reserve(&mut self, now: Duration, tokens: id::Tokens) -> Result<Reservation, Exhausted> {
        self.reserve_amount(now, Amount { turns: 1, tokens })
    }

    /// Sets aside `amount` for a sub-agent; settle it with what the sub-agent spent at its end.
    ///
    /// # Errors
    ///
    /// As [`Self::reserve`].
    pub fn lend(&mut self, now: Duration, amount: Amount) -> Result<Reservation, Exhausted> {
        self.reserve_amount(now, amount)
    }

    /// The limits of a sub-agent that holds `loan`; its time ends with its parent's.
    pub fn loan_limits(&self, now: Duration, loan: &Reservation) -> Limits {
        let left = |time: Duration| (self.started + time).saturating_sub(now);
        Limits {
            turns: Some(loan.0.turns),
            tokens: Some(loan.0.tokens),
            time: self.limits.time.map(left),
        }
    }

    /// Books what was used of a reservation and frees the rest. A use beyond the reservation is
    /// booked whole; the caller bounds it by passing the reserved tokens on as `max_tokens`.
    pub fn settle(&mut self, reservation: Reservation, used: Amount) {
        let Reservation(set_aside) = reservation;
        self.reserved.turns = self.reserved.turns.saturating_sub(set_aside.turns);
        self.reserved.tokens = self.reserved.tokens.saturating_sub(set_aside.tokens);
        self.spent.turns = self.spent.turns.saturating_add(used.turns);
        self.spent.tokens = self.spent.tokens.saturating_add(used.tokens);
    }

    /// What was spent.
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Tokens neither spent nor set aside; `None` without a bound.
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
