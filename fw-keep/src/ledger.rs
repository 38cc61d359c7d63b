//! Budget accounting of one program: an amount is reserved before a turn runs and settled after it.
//!
//! Without reservations, sub-agents that run at the same time would each see all that remains of
//! their parent's budget, and together would spend it several times over.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

/// Limits of a budget; `None` sets no limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum number of turns.
    pub turns: Option<u32>,
    /// Maximum tokens, prompt and completion of all turns together.
    pub tokens: Option<id::Tokens>,
    /// Maximum time during which a turn is running.
    pub time: Option<Duration>,
}

/// An amount spent or reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Turns.
    pub turns: u32,
    /// Tokens, prompt and completion.
    pub tokens: id::Tokens,
    /// Time during which a turn was running.
    pub time: Duration,
}

/// The amount that one turn asks to reserve.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Estimate of the prompt's tokens.
    pub prompt: id::Tokens,
    /// Maximum tokens to generate, if the caller set a limit.
    pub completion: Option<id::Tokens>,
}

/// The amount that one turn may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grant {
    /// Maximum tokens to generate; `None` if neither caller nor budget sets a limit.
    pub completion: Option<id::Tokens>,
    /// Time that the budget leaves for the turn.
    pub time: Option<Duration>,
}

/// The amounts that one program has spent and that its running turns have reserved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    spent: Amount,
    reserved: BTreeMap<id::AttemptId, Amount>,
}

impl Ledger {
    /// A ledger with `spent` already spent and nothing reserved.
    pub fn new(spent: Amount) -> Self {
        Self {
            spent,
            reserved: BTreeMap::new(),
        }
    }

    /// The amount spent, without reservations.
    pub fn spent(&self) -> Amount {
        self.spent
    }

    /// Tokens neither spent nor reserved; `None` if `limits` sets no limit.
    pub fn tokens_left(&self, limits: &Limits) -> Option<id::Tokens> {
        let reserved: id::Tokens = self.reserved.values().map(|amount| amount.tokens).sum();
        let used = self.spent.tokens.saturating_add(reserved);
        limits.tokens.map(|limit| limit.saturating_sub(used))
    }

    /// Reserves the most that the turn of `attempt` may use.
    ///
    /// # Errors
    ///
    /// [`error::Kind::BudgetExhausted`] when not even one token could be generated.
    pub fn reserve(
        &mut self,
        attempt: id::AttemptId,
        request: Request,
        limits: &Limits,
    ) -> Result<Grant, error::Error> {
        self.check_turns(limits)?;
        let time = self.time_left(limits)?;
        let completion = self.allowed_completion(request, limits)?;
        let tokens = request.prompt.saturating_add(completion.unwrap_or(0));
        let amount = Amount {
            turns: 1,
            tokens,
            time: Duration::ZERO,
        };
        self.reserved.insert(attempt, amount);
        Ok(Grant { completion, time })
    }

    /// Replaces the reservation of `attempt` by the amount that it used.
    pub fn settle(&mut self, attempt: id::AttemptId, used: Amount) {
        self.reserved.remove(&attempt);
        self.charge(used);
    }

    /// The amount that `attempt` has reserved, which is the most it can have used.
    pub fn reserved(&self, attempt: id::AttemptId) -> Amount {
        self.reserved.get(&attempt).copied().unwrap_or_default()
    }

    /// Adds `used` to the amount spent.
    pub fn charge(&mut self, used: Amount) {
        self.spent.turns = self.spent.turns.saturating_add(used.turns);
        self.spent.tokens = self.spent.tokens.saturating_add(used.tokens);
        self.spent.time = self.spent.time.saturating_add(used.time);
    }

    fn check_turns(&self, limits: &Limits) -> Result<(), error::Error> {
        let reserved: u32 = self.reserved.values().map(|amount| amount.turns).sum();
        let used = self.spent.turns.saturating_add(reserved);
        match limits.turns {
            Some(limit) if used >= limit => Err(exhausted(format!(
                "the program's budget of {limit} turns is spent; end it and start another"
            ))),
            _ => Ok(()),
        }
    }

    fn time_left(&self, limits: &Limits) -> Result<Option<Duration>, error::Error> {
        let Some(limit) = limits.time else {
            return Ok(None);
        };
        let left = limit.saturating_sub(self.spent.time);
        if left.is_zero() {
            return Err(exhausted(format!(
                "the program's budget of {limit:?} of running time is spent; end it and start another"
            )));
        }
        Ok(Some(left))
    }

    fn allowed_completion(
        &self,
        request: Request,
        limits: &Limits,
    ) -> Result<Option<id::Tokens>, error::Error> {
        let Some(left) = self.tokens_left(limits) else {
            return Ok(request.completion);
        };
        let available = left.saturating_sub(request.prompt);
        if available == 0 {
            let prompt = request.prompt;
            return Err(exhausted(format!(
                "the program's budget has {left} tokens left and the prompt takes about {prompt}; \
                 end it and start another"
            )));
        }
        Ok(Some(
            request
                .completion
                .map_or(available, |limit| limit.min(available)),
        ))
    }
}

fn exhausted(message: String) -> error::Error {
    error::Error::new(error::Kind::BudgetExhausted, message)
}
