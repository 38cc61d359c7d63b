//! The teams of a configuration, and the API keys that belong to them.

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
    /// Rank of its requests, in place of the route's; 0 goes first.
    pub priority: Option<u32>,
    /// What it may send; `None` for no limit.
    pub quota: Option<quota::Limit>,
}

/// All teams, by the digests of their keys. The keys themselves are not kept.
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

/// The digest of an API key. Looking a key up by it takes a time that tells nothing of other keys.
pub fn digest_of(key: &[u8]) -> digest::Digest {
    digest::Digest::of_bytes(key)
}
