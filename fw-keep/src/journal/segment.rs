//! Encoding of segments and heads: magic bytes for kind and version, the content, and a checksum.

use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;
use snafu::ensure;

const SEGMENT_MAGIC: &[u8; 4] = b"fwj1";
const HEAD_MAGIC: &[u8; 4] = b"fwh1";
const MAGIC_LEN: usize = 4;
const CHECKSUM_LEN: usize = 32;

/// A random number that identifies one group of entries and one attempt to write it. After a write
/// whose answer was lost, it distinguishes our own value from that of another writer.
pub type Nonce = u64;

/// One segment: a part of an encoded group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The shard.
    pub shard: id::ShardId,
    /// Number of the snapshot that the segment is part of or follows.
    pub generation: u64,
    /// Position within the generation; the first is 0.
    pub seq: u64,
    /// Fencing number of the holder that encoded it.
    pub fence: id::Fence,
    /// Identifies the group.
    pub nonce: Nonce,
    /// Position within the group; the first is 0.
    pub part: u32,
    /// Number of parts of the group.
    pub parts: u32,
    /// Whether the group is a snapshot.
    pub snapshot: bool,
    /// This part of the encoded entries.
    pub payload: Vec<u8>,
}

/// The end of a shard's journal. Written together with every segment, so that a missing segment at
/// the end is detected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The shard.
    pub shard: id::ShardId,
    /// The current generation.
    pub generation: u64,
    /// Sequence number of that generation's next segment.
    pub next_seq: u64,
    /// The highest generation ever started; above `generation` while a snapshot is being written.
    pub highest_generation: u64,
    /// Identifies the group written last.
    pub nonce: Nonce,
    /// The part of that group written last.
    pub part: u32,
    /// Bytes of the generation's segments.
    pub bytes: u64,
    /// Bytes of the snapshot at the start of the generation.
    pub snapshot_bytes: u64,
    /// Sequence number below which segments may have been lost. Set when a lost head is replaced,
    /// since the new head no longer shows the damage.
    pub damaged_before: Option<u64>,
}

/// Why a value in the store cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Corrupt {
    /// The checksum does not match: the value is truncated or was changed.
    #[snafu(display("`{key}` is torn: its checksum does not match its {len} bytes"))]
    Torn {
        /// The key.
        key: String,
        /// Length of the value.
        len: usize,
    },
    /// The checksum matches, but the kind or version is unknown.
    #[snafu(display("`{key}` has an unknown format: {reason}"))]
    Format {
        /// The key.
        key: String,
        /// Description of the mismatch.
        reason: String,
    },
    /// The checksum matches, but the value does not belong to this key.
    #[snafu(display("`{key}` is foreign: {reason}"))]
    Foreign {
        /// The key.
        key: String,
        /// Description of the mismatch.
        reason: String,
    },
    /// The value is expected, but the key does not exist.
    #[snafu(display("`{key}` is missing"))]
    Missing {
        /// The key.
        key: String,
    },
}

impl Segment {
    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        encode(SEGMENT_MAGIC, self)
    }

    /// Decodes the value of `key`, and checks that it belongs there.
    ///
    /// # Errors
    ///
    /// Any [`Corrupt`] except `Missing`.
    pub fn decode(
        key: &str,
        shard: id::ShardId,
        generation: u64,
        seq: u64,
        value: &[u8],
    ) -> Result<Self, Corrupt> {
        let segment: Self = decode(SEGMENT_MAGIC, key, value)?;
        let position = (segment.shard, segment.generation, segment.seq);
        ensure!(
            position == (shard, generation, seq),
            ForeignSnafu {
                key,
                reason: format!("it contains shard, generation and sequence number {position:?}"),
            }
        );
        ensure!(
            segment.part < segment.parts,
            ForeignSnafu {
                key,
                reason: format!("it is part {} of {}", segment.part, segment.parts),
            }
        );
        Ok(segment)
    }
}

impl Head {
    /// The value to store.
    pub fn encode(&self) -> Vec<u8> {
        encode(HEAD_MAGIC, self)
    }

    /// Decodes the value of `key`, and checks that it belongs there.
    ///
    /// # Errors
    ///
    /// Any [`Corrupt`] except `Missing`.
    pub fn decode(key: &str, shard: id::ShardId, value: &[u8]) -> Result<Self, Corrupt> {
        let head: Self = decode(HEAD_MAGIC, key, value)?;
        ensure!(
            head.shard == shard,
            ForeignSnafu {
                key,
                reason: format!("it contains shard {}", head.shard),
            }
        );
        Ok(head)
    }
}

fn encode<T: Serialize>(magic: &[u8; MAGIC_LEN], content: &T) -> Vec<u8> {
    let mut buf = magic.to_vec();
    let body = postcard::to_stdvec(content).expect("plain data encodes into memory");
    buf.extend_from_slice(&body);
    let checksum = blake3::hash(&buf);
    buf.extend_from_slice(checksum.as_bytes());
    buf
}

fn decode<T: DeserializeOwned>(
    magic: &[u8; MAGIC_LEN],
    key: &str,
    value: &[u8],
) -> Result<T, Corrupt> {
    let len = value.len();
    ensure!(len >= MAGIC_LEN + CHECKSUM_LEN, TornSnafu { key, len });
    let (content, checksum) = value.split_at(len - CHECKSUM_LEN);
    ensure!(
        blake3::hash(content).as_bytes() == checksum,
        TornSnafu { key, len }
    );
    let (found, body) = content.split_at(MAGIC_LEN);
    ensure!(
        found == magic,
        FormatSnafu {
            key,
            reason: format!("its magic bytes are {}", found.escape_ascii()),
        }
    );
    let invalid_format = |err: postcard::Error| Corrupt::Format {
        key: key.to_owned(),
        reason: err.to_string(),
    };
    let (content, rest) = postcard::take_from_bytes(body).map_err(invalid_format)?;
    ensure!(
        rest.is_empty(),
        FormatSnafu {
            key,
            reason: format!("{} bytes follow its content", rest.len()),
        }
    );
    Ok(content)
}
