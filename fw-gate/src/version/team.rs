//! The teams of a configuration, and their API keys.

use std::collections::BTreeMap;

use fw_base::digest;
use fw_base::id;
use fw_plan::quota;
use serde::{Deserialize, Serialize};

/// One team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Team {
    /// Its name.
    pub name: id::TeamId,
    /// Priority of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Limit of its request rate; `None` for no limit.
    pub quota: Option<quota::Limit>,
}

/// All teams, indexed by the digests of their keys. The keys themselves are not stored.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Teams {
    teams: Vec<Team>,
    keys: BTreeMap<digest::Digest, usize>,
}

impl Teams {
    /// Adds a team with its keys.
    pub fn add<'a>(&mut self, team: Team, keys: impl IntoIterator<Item = &'a str>) {
        let at = self.teams.len();
        self.teams.push(team);
        let digests = keys.into_iter().map(|key| digest_of(key.as_bytes()));
        self.keys.extend(digests.map(|digest| (digest, at)));
    }

    /// The team that holds the key with `digest`.
    pub fn of_key(&self, digest: &digest::Digest) -> Option<&Team> {
        let at = self.keys.get(digest)?;
        self.teams.get(*at)
    }

    /// All teams.
    pub fn all(&self) -> &[Team] {
        &self.teams
    }
}

/// The digest of an API key. Keys are looked up by digest, so that the duration of a lookup reveals nothing
/// about other keys.
pub fn digest_of(key: &[u8]) -> digest::Digest {
    digest::Digest::of_bytes(key)
}
