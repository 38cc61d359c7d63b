//! The chained digest of a program's history.
//!
//! Each message extends the digest of all previous ones, so two histories have the same digest only if
//! they have the same messages in the same order. The keeper compares digests before it runs a turn,
//! and the side before it sends one, which prevents a turn from running on another program's history.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::chat;

/// Digest of a history; [`Digest::EMPTY`] for one without messages. Serialized as 64 hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of the empty history.
    pub const EMPTY: Self = Self([0; 32]);

    /// The digest of the history of `self` with `message` appended.
    pub fn extend(self, message: &chat::Message) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.0);
        hasher.update(message.as_str().as_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// The digest of the history of `self` with `messages` appended in order.
    pub fn extend_all(self, messages: &[chat::Message]) -> Self {
        messages.iter().fold(self, Self::extend)
    }

    /// Digest of arbitrary bytes, such as a request body.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// The raw bytes.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self::EMPTY
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        blake3::Hash::from_bytes(digest.0).to_hex().to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = blake3::HexError;

    fn try_from(hex: String) -> Result<Self, Self::Error> {
        let hash = blake3::Hash::from_hex(hex.as_bytes())?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let hex = blake3::Hash::from_bytes(self.0).to_hex();
        f.write_str(&hex[..16])
    }
}
