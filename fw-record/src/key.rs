//! Kinds and names of records, and their keys in the store.

use std::fmt;
use std::str::FromStr;

use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Prefix of the keys of all records.
pub const RECORDS: &str = "/fw/records/";

/// Prefix of the keys of replaced versions, kept as history.
pub const HISTORY: &str = "/fw/history/";

/// Key written in the transaction of every change, so that its modification revision is that of
/// the last change. No other key would carry the revision of a deletion.
pub const HEAD: &str = "/fw/records/head";

/// Digits of a zero-padded revision in a key, so that keys sort in the order of revisions.
const REVISION_DIGITS: usize = 20;

/// What a record describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// An agent service or a plain service.
    Service,
    /// A path prefix that leads to a plain service.
    Route,
    /// A team of callers.
    Team,
    /// Limits on programs.
    Budget,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Service, Self::Route, Self::Team, Self::Budget];

    /// The kind as written in keys and commands.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Route => "route",
            Self::Team => "team",
            Self::Budget => "budget",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = Self::ALL.into_iter().find(|kind| kind.as_str() == text);
        known.ok_or_else(|| format!("`{text}` is not one of service, route, team, budget"))
    }
}

/// Kind and name of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
    /// The kind.
    pub kind: Kind,
    /// The name, unique within its kind.
    pub name: SmolStr,
}

impl Name {
    /// Makes a name without validation.
    pub fn new(kind: Kind, name: impl Into<SmolStr>) -> Self {
        let name = name.into();
        Self { kind, name }
    }

    /// Parses and validates a name from untrusted input.
    ///
    /// # Errors
    ///
    /// When the kind is unknown, or the name fails [`id::is_valid_name`].
    pub fn parse(kind: &str, name: &str) -> Result<Self, String> {
        let kind = kind.parse()?;
        if !id::is_valid_name(name) {
            let max = id::MAX_NAME;
            return Err(format!(
                "a record's name must be 1 to {max} letters, digits or any of `-_.:`"
            ));
        }
        Ok(Self::new(kind, name))
    }

    /// The record's name from a key of the store; `None` if the key is not a record's.
    pub fn from_key(key: &str) -> Option<Self> {
        let (kind, name) = key.strip_prefix(RECORDS)?.split_once('/')?;
        Self::parse(kind, name).ok()
    }

    /// The record's key in the store.
    pub fn key(&self) -> String {
        format!("{RECORDS}{self}")
    }

    /// Prefix of the keys of the record's replaced versions.
    pub fn history(&self) -> String {
        format!("{HISTORY}{self}/")
    }

    /// Key of the replaced version that was written at `revision`.
    pub fn history_at(&self, revision: id::Revision) -> String {
        let prefix = self.history();
        format!("{prefix}{revision:0REVISION_DIGITS$}")
    }

    /// The revision in a key made by [`Name::history_at`].
    pub fn history_revision(&self, key: &str) -> Option<id::Revision> {
        key.strip_prefix(&self.history())?.parse().ok()
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}
