//! Codec of the gateway's JSON: bytes as base64, 64-bit integers as strings, zero values omitted.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Deserializer;
use serde_json::Value;
use serde_json::json;

use crate::error::Error;
use crate::error::Result;
use crate::kv;

/// As the end of a range: no upper bound. As its start: the first key.
const UNBOUNDED: &[u8] = b"\0";

/// A 64-bit integer, encoded as a string or a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Int(pub i64);

impl<'de> Deserialize<'de> for Int {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(i64),
        }
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(Self(number)),
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    revision: Int,
}

impl Header {
    /// The store's revision, which every valid answer contains.
    ///
    /// As the gateway omits zero values, a body such as `{}` from a proxy would otherwise decode as "no
    /// such keys" or "the comparison failed".
    pub fn revision(&self) -> Result<i64> {
        match self.revision.0 {
            revision @ 1.. => Ok(revision),
            other => Err(malformed("header.revision", &other)),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawKv {
    key: String,
    value: String,
    create_revision: Int,
    mod_revision: Int,
    version: Int,
    lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawRangeReply {
    header: Header,
    kvs: Vec<RawKv>,
    more: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawDeleted {
    deleted: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RawReply {
    response_put: Option<serde::de::IgnoredAny>,
    response_range: Option<RawRangeReply>,
    response_delete_range: Option<RawDeleted>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawTxnOutcome {
    header: Header,
    succeeded: bool,
    responses: Vec<RawReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawLease {
    #[serde(rename = "ID")]
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

/// One line of a streamed response.
#[derive(Debug, Deserialize)]
pub(crate) struct Line<T> {
    pub result: Option<T>,
    pub error: Option<RawError>,
}

/// An error, as encoded by the gateway in unary and streamed responses.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawError {
    #[serde(alias = "grpc_code")]
    pub code: u32,
    pub message: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawWatch {
    pub header: Header,
    pub created: bool,
    pub canceled: bool,
    pub compact_revision: Int,
    pub cancel_reason: String,
    pub events: Vec<RawEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RawEvent {
    /// `PUT` is the zero value and omitted.
    #[serde(rename = "type")]
    pub kind: String,
    pub kv: RawKv,
}

impl RawKv {
    pub(crate) fn decode(self) -> Result<kv::Kv> {
        let key = decode_bytes("key", &self.key)?;
        let key = String::from_utf8(key).map_err(|err| malformed("key", &err))?;
        Ok(kv::Kv {
            key,
            value: decode_bytes("value", &self.value)?,
            create_revision: self.create_revision.0,
            mod_revision: self.mod_revision.0,
            version: self.version.0,
            lease: self.lease.0,
        })
    }
}

impl RawRangeReply {
    pub(crate) fn decode(self) -> Result<kv::RangeReply> {
        let revision = self.header.revision()?;
        let kvs = self.kvs.into_iter().map(RawKv::decode);
        Ok(kv::RangeReply {
            kvs: kvs.collect::<Result<_>>()?,
            revision,
            more: self.more,
        })
    }
}

impl RawReply {
    fn decode(self) -> Result<kv::Reply> {
        if let Some(range_reply) = self.response_range {
            return range_reply.decode().map(kv::Reply::Range);
        }
        if let Some(deleted) = self.response_delete_range {
            let count = deleted.deleted.0;
            return Ok(kv::Reply::Deleted { count });
        }
        if self.response_put.is_some() {
            return Ok(kv::Reply::Put);
        }
        Err(malformed("responses", &"a step without a response"))
    }
}

impl RawTxnOutcome {
    pub(crate) fn decode(self) -> Result<kv::TxnOutcome> {
        let revision = self.header.revision()?;
        let responses = self.responses.into_iter().map(RawReply::decode);
        Ok(kv::TxnOutcome {
            succeeded: self.succeeded,
            revision,
            responses: responses.collect::<Result<_>>()?,
        })
    }
}

/// Decodes the JSON of an answer.
pub(crate) fn parse<T: for<'de> Deserialize<'de>>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|err| malformed("body", &err))
}

pub(crate) fn malformed(part: &str, err: &dyn std::fmt::Display) -> Error {
    Error::Malformed {
        reason: format!("{part}: {err}"),
    }
}

fn decode_bytes(part: &str, text: &str) -> Result<Vec<u8>> {
    STANDARD.decode(text).map_err(|err| malformed(part, &err))
}

fn encode_bytes(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Start key of a range and, for a prefix, its exclusive end, in base64.
fn bounds(key: &str, prefix: bool) -> (String, Option<String>) {
    if !prefix {
        return (encode_bytes(key.as_bytes()), None);
    }
    let start = if key.is_empty() {
        UNBOUNDED
    } else {
        key.as_bytes()
    };
    (encode_bytes(start), Some(encode_bytes(&prefix_end(key))))
}

/// The first key after all keys that begin with `prefix`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    UNBOUNDED.to_vec()
}

pub(crate) fn range(range: &kv::Range) -> Value {
    let (key, end) = bounds(&range.key, range.prefix);
    let mut req = json!({ "key": key });
    if let Some(end) = end {
        req["range_end"] = end.into();
    }
    if range.limit != 0 {
        req["limit"] = range.limit.to_string().into();
    }
    if range.revision != 0 {
        req["revision"] = range.revision.to_string().into();
    }
    req
}

fn compare(compare: &kv::Compare) -> Value {
    let (key, target, field, value) = match compare {
        kv::Compare::ModRevision(key, rev) => (key, "MOD", "mod_revision", rev.to_string()),
        kv::Compare::CreateRevision(key, rev) => {
            (key, "CREATE", "create_revision", rev.to_string())
        }
        kv::Compare::Version(key, version) => (key, "VERSION", "version", version.to_string()),
        kv::Compare::Value(key, value) => (key, "VALUE", "value", encode_bytes(value)),
        kv::Compare::Lease(key, lease) => (key, "LEASE", "lease", lease.to_string()),
    };
    json!({
        "key": encode_bytes(key.as_bytes()),
        "target": target,
        "result": "EQUAL",
        field: value,
    })
}

fn op(op: &kv::Op) -> Value {
    match op {
        kv::Op::Put { key, value, lease } => json!({ "request_put": {
            "key": encode_bytes(key.as_bytes()),
            "value": encode_bytes(value),
            "lease": lease.to_string(),
        }}),
        kv::Op::Delete { key, prefix } => {
            let (key, end) = bounds(key, *prefix);
            let mut req = json!({ "key": key });
            if let Some(end) = end {
                req["range_end"] = end.into();
            }
            json!({ "request_delete_range": req })
        }
        kv::Op::Get(read) => json!({ "request_range": range(read) }),
    }
}

pub(crate) fn txn(txn: &kv::Txn) -> Value {
    json!({
        "compare": txn.compares.iter().map(compare).collect::<Vec<_>>(),
        "success": txn.then.iter().map(op).collect::<Vec<_>>(),
        "failure": txn.otherwise.iter().map(op).collect::<Vec<_>>(),
    })
}

pub(crate) fn watch(prefix: &str, from_revision: i64) -> Value {
    let (key, end) = bounds(prefix, true);
    json!({ "create_request": {
        "key": key,
        "range_end": end,
        "start_revision": from_revision.to_string(),
        "progress_notify": true,
    }})
}
