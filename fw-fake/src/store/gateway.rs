//! HTTP/JSON interface of the stand-in: unary calls.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::post;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;

use super::Core;
use super::faults;
use super::mvcc;
use super::watch_stream;

/// gRPC status codes.
const INVALID_ARGUMENT: u32 = 3;
const NOT_FOUND: u32 = 5;
const OUT_OF_RANGE: u32 = 11;
const UNAVAILABLE: u32 = 14;

/// Maximum size of a request body, in bytes.
const MAX_BODY: usize = 256 << 20;

/// Handler state of one port: the shared state and the index of the port.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    pub core: Arc<Core>,
    pub port: usize,
}

pub(super) fn router(core: Arc<Core>, port: usize) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/watch", post(watch_stream::open))
        .layer(DefaultBodyLimit::max(MAX_BODY))
        .with_state(Endpoint { core, port })
}

/// Error response in the format of the etcd gateway.
pub(super) struct ErrorReply {
    status: StatusCode,
    code: u32,
    message: String,
}

impl ErrorReply {
    fn invalid(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: INVALID_ARGUMENT,
            message: message.into(),
        }
    }
}

impl IntoResponse for ErrorReply {
    fn into_response(self) -> Response {
        let body = json!({
            "error": self.message,
            "code": self.code,
            "message": self.message,
        });
        (self.status, Json(body)).into_response()
    }
}

impl From<mvcc::Refusal> for ErrorReply {
    fn from(refusal: mvcc::Refusal) -> Self {
        let (status, code, message) = match refusal {
            mvcc::Refusal::Compacted(_) => (
                StatusCode::BAD_REQUEST,
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision has been compacted",
            ),
            mvcc::Refusal::FutureRevision => (
                StatusCode::BAD_REQUEST,
                OUT_OF_RANGE,
                "etcdserver: mvcc: required revision is a future revision",
            ),
            mvcc::Refusal::NoLease => (
                StatusCode::NOT_FOUND,
                NOT_FOUND,
                "etcdserver: requested lease not found",
            ),
        };
        Self {
            status,
            code,
            message: message.to_owned(),
        }
    }
}

impl Endpoint {
    /// Applies the delay and the outage of the port before a call is processed.
    pub async fn admit(&self) -> Result<(), ErrorReply> {
        let faults = self.port().lock().faults.clone();
        if faults.delay > Duration::ZERO {
            tokio::time::sleep(faults.delay).await;
        }
        match faults.outage {
            None => Ok(()),
            Some(faults::Outage::Hang) => std::future::pending().await,
            Some(faults::Outage::Refuse) => Err(ErrorReply {
                status: StatusCode::SERVICE_UNAVAILABLE,
                code: UNAVAILABLE,
                message: "etcdserver: no leader".to_owned(),
            }),
        }
    }

    pub fn port(&self) -> &parking_lot::Mutex<faults::Port> {
        &self.core.ports[self.port]
    }

    /// Builds the response. For a lost answer, its body is aborted before the first byte.
    fn answer(&self, kind: faults::Answer, body: Value) -> Response {
        if !self.port().lock().draw_loss(kind) {
            return Json(body).into_response();
        }
        let aborted: Result<&'static str, _> = Err(std::io::Error::other("answer lost"));
        Body::from_stream(stream::iter([aborted])).into_response()
    }
}

async fn range(
    State(endpoint): State<Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, ErrorReply> {
    endpoint.core.counters.reads.fetch_add(1, Ordering::Relaxed);
    endpoint.admit().await?;
    let read = parse_read(&req)?;
    let (reply, revision) = {
        let state = endpoint.core.state.lock();
        (state.read(&read)?, state.revision())
    };
    let mut body = reply_json(&reply, revision);
    Ok(Json(body["response_range"].take()).into_response())
}

async fn txn(
    State(endpoint): State<Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, ErrorReply> {
    let compares = items(&req, "compare").iter().map(parse_compare);
    let compares = compares.collect::<Result<Vec<_>, _>>()?;
    let then = parse_ops(&endpoint, &req, "success")?;
    let otherwise = parse_ops(&endpoint, &req, "failure")?;
    let mut steps = then.iter().chain(&otherwise);
    let can_write = steps.any(|op| !matches!(op, mvcc::Op::Get(_)));
    let counters = &endpoint.core.counters;
    let counter = if can_write {
        &counters.writes
    } else {
        &counters.reads
    };
    counter.fetch_add(1, Ordering::Relaxed);
    endpoint.admit().await?;
    let outcome = endpoint.core.state.lock().txn(&compares, then, otherwise)?;
    endpoint.core.wake();
    let replies = outcome.replies.iter();
    let body = json!({
        "header": header(outcome.revision),
        "succeeded": outcome.succeeded,
        "responses": replies.map(|r| reply_json(r, outcome.revision)).collect::<Vec<_>>(),
    });
    if can_write {
        Ok(endpoint.answer(faults::Answer::Write, body))
    } else {
        Ok(Json(body).into_response())
    }
}

async fn grant(
    State(endpoint): State<Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, ErrorReply> {
    endpoint
        .core
        .counters
        .leases
        .fetch_add(1, Ordering::Relaxed);
    endpoint.admit().await?;
    let secs = u64::try_from(int(&req, "TTL")?).unwrap_or(0);
    if secs == 0 {
        return Err(ErrorReply::invalid("TTL must be positive"));
    }
    let ttl = Duration::from_secs(secs);
    let id = endpoint.core.state.lock().grant(ttl, Instant::now());
    let body = json!({ "ID": id.to_string(), "TTL": secs.to_string() });
    Ok(endpoint.answer(faults::Answer::Lease, body))
}

async fn keep_alive(
    State(endpoint): State<Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, ErrorReply> {
    endpoint
        .core
        .counters
        .leases
        .fetch_add(1, Ordering::Relaxed);
    endpoint.admit().await?;
    let id = int(&req, "ID")?;
    let ttl = endpoint.core.state.lock().keep_alive(id, Instant::now());
    // etcd omits a TTL of 0, which means that the lease does not exist.
    let result = match ttl {
        Some(ttl) => json!({ "ID": id.to_string(), "TTL": ttl.as_secs().to_string() }),
        None => json!({ "ID": id.to_string() }),
    };
    Ok(endpoint.answer(faults::Answer::Lease, json!({ "result": result })))
}

async fn revoke(
    State(endpoint): State<Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, ErrorReply> {
    endpoint
        .core
        .counters
        .leases
        .fetch_add(1, Ordering::Relaxed);
    endpoint.admit().await?;
    let id = int(&req, "ID")?;
    if !endpoint.core.state.lock().revoke(id) {
        return Err(mvcc::Refusal::NoLease.into());
    }
    endpoint.core.wake();
    Ok(endpoint.answer(faults::Answer::Lease, json!({})))
}

fn parse_ops(endpoint: &Endpoint, req: &Value, branch: &str) -> Result<Vec<mvcc::Op>, ErrorReply> {
    let ops = items(req, branch);
    if ops.len() > endpoint.core.opts.max_ops {
        return Err(ErrorReply::invalid(
            "etcdserver: too many operations in txn request",
        ));
    }
    let max_value = endpoint.core.opts.max_value;
    ops.iter().map(|op| parse_op(op, max_value)).collect()
}

fn parse_op(op: &Value, max_value: usize) -> Result<mvcc::Op, ErrorReply> {
    if let Some(put) = op.get("request_put") {
        let value = bytes(put, "value")?;
        if value.len() > max_value {
            return Err(ErrorReply::invalid("etcdserver: request is too large"));
        }
        return Ok(mvcc::Op::Put {
            key: bytes(put, "key")?,
            value,
            lease: int(put, "lease")?,
        });
    }
    if let Some(delete) = op.get("request_delete_range") {
        return Ok(mvcc::Op::Delete(parse_span(delete)?));
    }
    match op.get("request_range") {
        Some(read) => Ok(mvcc::Op::Get(parse_read(read)?)),
        None => Err(ErrorReply::invalid("unknown operation in txn request")),
    }
}

fn parse_compare(compare: &Value) -> Result<mvcc::Compare, ErrorReply> {
    let key = bytes(compare, "key")?;
    if text(compare, "result") != "EQUAL" {
        return Err(ErrorReply::invalid("compare result must be EQUAL"));
    }
    Ok(match text(compare, "target") {
        "MOD" => mvcc::Compare::Mod(key, int(compare, "mod_revision")?),
        "CREATE" => mvcc::Compare::Create(key, int(compare, "create_revision")?),
        "VERSION" => mvcc::Compare::Version(key, int(compare, "version")?),
        "LEASE" => mvcc::Compare::Lease(key, int(compare, "lease")?),
        "VALUE" => mvcc::Compare::Value(key, bytes(compare, "value")?),
        _ => return Err(ErrorReply::invalid("unknown compare target")),
    })
}

fn parse_read(req: &Value) -> Result<mvcc::Read, ErrorReply> {
    Ok(mvcc::Read {
        span: parse_span(req)?,
        limit: usize::try_from(int(req, "limit")?).unwrap_or(0),
        revision: int(req, "revision")?,
    })
}

pub(super) fn parse_span(req: &Value) -> Result<mvcc::Span, ErrorReply> {
    Ok(mvcc::Span {
        key: bytes(req, "key")?,
        end: bytes(req, "range_end")?,
    })
}

fn items<'a>(req: &'a Value, field: &str) -> &'a [Value] {
    let items = req.get(field).and_then(Value::as_array);
    items.map_or(&[], Vec::as_slice)
}

fn text<'a>(req: &'a Value, field: &str) -> &'a str {
    req.get(field).and_then(Value::as_str).unwrap_or_default()
}

fn bytes(req: &Value, field: &str) -> Result<Vec<u8>, ErrorReply> {
    let decoded = STANDARD.decode(text(req, field));
    decoded.map_err(|err| ErrorReply::invalid(format!("{field}: {err}")))
}

pub(super) fn int(req: &Value, field: &str) -> Result<i64, ErrorReply> {
    match req.get(field) {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(text)) => text
            .parse()
            .map_err(|err| ErrorReply::invalid(format!("{field}: {err}"))),
        Some(value) => value
            .as_i64()
            .ok_or_else(|| ErrorReply::invalid(format!("{field}: not an integer"))),
    }
}

pub(super) fn header(revision: i64) -> Value {
    json!({ "cluster_id": "1", "member_id": "1", "revision": revision.to_string() })
}

/// Encodes a key-value pair as the etcd gateway does, omitting zero values.
pub(super) fn kv_json(kv: &mvcc::Kv) -> Value {
    let mut out = json!({ "key": STANDARD.encode(&kv.key) });
    if !kv.value.is_empty() {
        out["value"] = STANDARD.encode(&kv.value).into();
    }
    let numbers = [
        ("create_revision", kv.create_revision),
        ("mod_revision", kv.mod_revision),
        ("version", kv.version),
        ("lease", kv.lease),
    ];
    for (field, number) in numbers {
        if number != 0 {
            out[field] = number.to_string().into();
        }
    }
    out
}

fn reply_json(reply: &mvcc::Reply, revision: i64) -> Value {
    match reply {
        mvcc::Reply::Put => json!({ "response_put": { "header": header(revision) } }),
        mvcc::Reply::Deleted(count) => json!({ "response_delete_range": {
            "header": header(revision),
            "deleted": count.to_string(),
        }}),
        mvcc::Reply::Range { kvs, more } => json!({ "response_range": {
            "header": header(revision),
            "kvs": kvs.iter().map(kv_json).collect::<Vec<_>>(),
            "more": more,
            "count": kvs.len().to_string(),
        }}),
    }
}
