//! Budgets: limits on programs, by service and team.

use std::ops::RangeInclusive;
use std::time::Duration;

use fw_base::id;
use smol_str::SmolStr;

use crate::field;
use crate::schema::Encoding;
use crate::schema::Field;

/// Matches every service or team.
pub const ANY: &str = "*";

const SERVICE: Field = Field::same(&["service"]);
const TEAM: Field = Field::same(&["team"]);
const TURNS: Field = Field {
    v1: Some("turns"),
    v2: &["program", "turns"],
    encoding: Encoding::Same,
};
const TOKENS: Field = Field {
    v1: Some("tokens"),
    v2: &["program", "tokens"],
    encoding: Encoding::Same,
};
const TIME: Field = Field {
    v1: Some("time_ms"),
    v2: &["program", "time"],
    encoding: Encoding::Millis,
};

/// The fields of a budget record.
pub const FIELDS: &[Field] = &[SERVICE, TEAM, TURNS, TOKENS, TIME];

const TURNS_BOUNDS: RangeInclusive<u64> = 1..=1_000_000;
const TOKENS_BOUNDS: RangeInclusive<id::Tokens> = 1..=1_000_000_000_000;
const TIME_BOUNDS: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(365 * 24 * 3600);

/// Limits on the resources of one program, its sub-agents included.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Name of the budget.
    pub name: SmolStr,
    /// The service it applies to, or [`ANY`].
    pub service: id::ServiceId,
    /// The team it applies to, or [`ANY`].
    pub team: id::TeamId,
    /// Most turns; unlimited if absent.
    pub turns: Option<id::Turn>,
    /// Most tokens, of prompts and answers together; unlimited if absent.
    pub tokens: Option<id::Tokens>,
    /// Longest time from the program's first turn; unlimited if absent.
    pub time: Option<Duration>,
}

impl Budget {
    /// Parses the record `name`.
    ///
    /// # Errors
    ///
    /// When a field has the wrong type or is out of bounds, or no limit is set.
    pub fn read(name: &str, fields: &field::Reader<'_>) -> field::Result<Self> {
        let any = || SmolStr::new_static(ANY);
        let turns = fields.count(&TURNS, TURNS_BOUNDS)?;
        let budget = Self {
            name: name.into(),
            service: fields.text(&SERVICE, id::MAX_NAME)?.unwrap_or_else(any),
            team: fields.text(&TEAM, id::MAX_NAME)?.unwrap_or_else(any),
            turns: turns.and_then(|turns| id::Turn::try_from(turns).ok()),
            tokens: fields.count(&TOKENS, TOKENS_BOUNDS)?,
            time: fields.duration(&TIME, TIME_BOUNDS)?,
        };
        if budget.turns.is_none() && budget.tokens.is_none() && budget.time.is_none() {
            return Err(fields.invalid(&TURNS, "set, or else one of tokens and time"));
        }
        Ok(budget)
    }

    /// Whether the budget applies to programs of `team` on `service`.
    pub fn covers(&self, service: &str, team: &str) -> bool {
        let matches = |own: &str, requested: &str| own == ANY || own == requested;
        matches(&self.service, service) && matches(&self.team, team)
    }

    /// Rank for choosing between budgets: 3 if set for a team and a service, 2 for a team, 1 for a
    /// service, 0 for neither.
    pub fn specificity(&self) -> u8 {
        let team = u8::from(self.team != ANY);
        let service = u8::from(self.service != ANY);
        2 * team + service
    }
}
