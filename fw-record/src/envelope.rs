//! The stored value of a record's key: the record with the nonce of the write that stored it.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::document;
use crate::key;
use crate::schema;

/// A random id of a write, by which its writer recognizes it after a lost response.
pub type Nonce = String;

/// A stored record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Every field of the record.
    pub record: Map<String, Value>,
    /// Nonce of the write that stored it; empty if it was not written by this crate.
    #[serde(default)]
    pub nonce: Nonce,
    /// Nonce of the write that replaced or deleted it; set only in the history.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub replaced_by: Nonce,
}

impl Envelope {
    /// Parses a stored value: an envelope, or a bare record, recognized by its top-level `schema`.
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

    /// Serializes the envelope to the stored value.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("maps with text keys are valid JSON")
    }

    /// Parses the record in a stored value.
    ///
    /// # Errors
    ///
    /// When the value is not an envelope, or the record is invalid.
    pub fn document(name: key::Name, value: &[u8]) -> Result<document::Document, document::Error> {
        let envelope = Self::parse(value).map_err(|source| document::Error::Json { source })?;
        document::Document::from_raw(name, envelope.record)
    }
}
