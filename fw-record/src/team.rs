//! Teams of callers.

use std::ops::RangeInclusive;

use fw_base::digest;
use fw_base::id;

use crate::field;
use crate::schema::Encoding;
use crate::schema::Field;

const SHARE: Field = Field {
    v1: Some("weight"),
    v2: &["share"],
    encoding: Encoding::Weight,
};
const KEY_HASHES: Field = Field::same(&["key_hashes"]);
const MAX_PROGRAMS: Field = Field {
    v1: Some("max_programs"),
    v2: &["programs", "max"],
    encoding: Encoding::Same,
};

/// The fields of a team record.
pub const FIELDS: &[Field] = &[SHARE, KEY_HASHES, MAX_PROGRAMS];

const SHARE_BOUNDS: RangeInclusive<f64> = 0.01..=100.0;
const PROGRAMS_BOUNDS: RangeInclusive<u64> = 1..=1_000_000;
const MAX_KEYS: usize = 256;
/// Hex digits of a BLAKE3 hash.
const HASH_DIGITS: usize = 64;

/// A team of callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: id::TeamId,
    /// Scheduling weight relative to other teams; 1.0 is neutral.
    pub share: f64,
    /// BLAKE3 hashes of its callers' bearer keys.
    pub key_hashes: Vec<digest::Digest>,
    /// Most concurrent programs; unlimited if absent.
    pub max_programs: Option<u64>,
}

impl Team {
    /// Parses the record `name`.
    ///
    /// # Errors
    ///
    /// When a field has the wrong type or is out of bounds.
    pub fn read(name: &str, fields: &field::Reader<'_>) -> field::Result<Self> {
        let hashes = fields.texts(&KEY_HASHES, MAX_KEYS, HASH_DIGITS)?;
        let hashes = hashes.into_iter().map(|hash| hash.to_string().try_into());
        let expected = "BLAKE3 hashes of 64 hex digits; the keys themselves are never stored";
        let invalid = |_| fields.invalid(&KEY_HASHES, expected);
        let hashes: Result<Vec<_>, _> = hashes.collect();
        Ok(Self {
            name: name.into(),
            share: fields.share(&SHARE, SHARE_BOUNDS)?.unwrap_or(1.0),
            key_hashes: hashes.map_err(invalid)?,
            max_programs: fields.count(&MAX_PROGRAMS, PROGRAMS_BOUNDS)?,
        })
    }
}
