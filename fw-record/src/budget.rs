//! Limits of programs, by service and team.

use std::ops::RangeInclusive;
use std::time::Duration;

use fw_base::id;
use smol_str::SmolStr;

use crate::field;
use crate::schema::Encoding;
use crate::schema::Field;

/// Stands for every service or team.
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

/// Every field of the kind.
pub const FIELDS: &[Field] = &[SERVICE, TEAM, TURNS, TOKENS, TIME];

const TURNS_BOUNDS: RangeInclusive<u64> = 1..=1_000_000;
const TOKENS_BOUNDS: RangeInclusive<id::Tokens> = 1..=1_000_000_000_000;
const TIME_BOUNDS: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_secs(365 * 24 * 3600);

/// What one program may use, its sub-agents included.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name.
    pub name: SmolStr,
    /// The service it holds for, or [`ANY`].
    pub service: id::ServiceId,
    /// The team it holds for, or [`ANY`].
    pub team: id::TeamId,
    /// Turns; no bound if absent.
    pub turns: Option<id::Turn>,
    /// Tokens, of prompts and answers; no bound if absent.
    pub tokens: Option<id::Tokens>,
    /// Time from the program's first turn; no bound if absent.
    pub time: Option<Duration>,
}

impl Budget {
    /// Reads the record `name`.
    ///
    /// # Errors
    ///
    /// When a field is of a wrong type or out of bounds, or no limit is set at all.
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

    /// Whether it holds for programs of `team` on `service`.
    pub fn covers(&self, service: &str, team: &str) -> bool {
        let matches = |own: &str, requested: &str| own == ANY || own == requested;
        matches(&self.service, service) && matches(&self.team, team)
    }

    /// How closely it is aimed: by team and service, by team, by service, at all.
    pub fn specificity(&self) -> u8 {
        let team = u8::from(self.team != ANY);
        let service = u8::from(self.service != ANY);
        2 * team + service
    }
}
