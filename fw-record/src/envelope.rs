//! The value of a record's key: the record and the nonce of the write that stored it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::document;
use crate::key;
use crate::schema;

/// Drawn at random for each write, so that its writer recognizes it after a lost answer.
pub type Nonce = String;

/// A stored record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Every field of the record.
    pub record: Map<String, Value>,
    /// Nonce of the write that stored it; empty for one stored without this crate.
    #[serde(default)]
    pub nonce: Nonce,
    /// In the history: nonce of the write that replaced or deleted it.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub replaced_by: Nonce,
}

impl Envelope {
    /// Reads a stored value: an envelope, or the bare record with its `schema` at the top.
    ///
    /// # Errors
    ///
    /// When it is neither.
    pub fn parse(value: &[u8]) -> Result<Self, serde_json::Error> {
        let map: Map<String, Value> = serde_json::from_slice(value)?;
        if map.contains_key(schema::FIELD) {
            return Ok(Self {
                record: map,
                ..Self::default()
            });
        }
        serde_json::from_value(map.into())
    }

    /// The value to store.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with text keys are valid JSON")
    }

    /// Reads the record in a stored value.
    ///
    /// # Errors
    ///
    /// When the value is no envelope, or the record is refused.
    pub fn document(name: key::Name, value: &[u8]) -> Result<document::Document, document::Error> {
        let envelope = Self::parse(value).map_err(|source| document::Error::Json { source })?;
        document::Document::from_raw(name, envelope.record)
    }
}
