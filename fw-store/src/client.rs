//! Calls to the store: choice of endpoints, retries and metrics.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::StatusCode;
use hyper::http;
use parking_lot::RwLock;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use crate::codec;
use crate::error::Error;
use crate::error::Result;
use crate::kv;
use crate::watch;

/// Counter of calls by `op` and `outcome`.
pub const CALLS_TOTAL: &str = "fw_store_calls_total";

/// Minimum number of tries of a read, so that one dead connection does not fail it.
const MIN_READ_TRIES: usize = 2;

const RANGE: &str = "/v3/kv/range";
const TXN: &str = "/v3/kv/txn";
const LEASE_GRANT: &str = "/v3/lease/grant";
const LEASE_KEEP_ALIVE: &str = "/v3/lease/keepalive";
const LEASE_REVOKE: &str = "/v3/lease/revoke";
pub(crate) const WATCH: &str = "/v3/watch";

/// Endpoints and time-outs.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URIs such as `http://127.0.0.1:2379`; a bare `ip:port` means HTTP.
    pub endpoints: Vec<String>,
    /// Longest wait for the answer to one try. A read is tried on each endpoint, at least twice;
    /// a write is tried on the next endpoint only if no byte of it was sent.
    pub timeout: Duration,
    /// Time without data after which the connection of a watch is replaced. Must exceed the interval
    /// of the store's progress notifications, or idle watches are reopened each time.
    pub watch_idle_timeout: Duration,
    /// Pause before a failed watch is reopened.
    pub watch_backoff: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            timeout: Duration::from_secs(2),
            watch_idle_timeout: Duration::from_secs(2),
            watch_backoff: Duration::from_millis(200),
        }
    }
}

/// A client of the store. Clones are cheap and share connections.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    opts: Options,
    pool: RwLock<fw_http::Client>,
    /// Index of the endpoint to try first.
    first: AtomicUsize,
}

/// Whether a call may be sent again after its answer was lost: a read or an idempotent call may, a
/// write may not.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

impl Client {
    /// A client without connections yet.
    pub fn new(opts: Options) -> Self {
        let opts = Options {
            endpoints: opts.endpoints.iter().map(|e| base_uri(e)).collect(),
            ..opts
        };
        let pool = RwLock::new(new_pool(&opts));
        let first = AtomicUsize::new(0);
        let shared = Arc::new(Shared { opts, pool, first });
        Self { shared }
    }

    /// The endpoints and time-outs.
    pub fn options(&self) -> &Options {
        &self.shared.opts
    }

    /// Reads one key or a prefix.
    ///
    /// # Errors
    ///
    /// When no endpoint answers in time.
    pub async fn range(&self, range: &kv::Range) -> Result<kv::RangeReply> {
        let req = codec::range(range);
        let read = self.unary::<codec::RawRangeReply>("range", RANGE, &req, CallKind::Read);
        read.await?.decode()
    }

    /// Runs a transaction. One that can write is sent at most once.
    ///
    /// # Errors
    ///
    /// If [`Error::may_have_applied`] is true, the transaction may have taken effect.
    pub async fn txn(&self, txn: &kv::Txn) -> Result<kv::TxnOutcome> {
        let req = codec::txn(txn);
        let kind = if txn.can_write() {
            CallKind::Write
        } else {
            CallKind::Read
        };
        let done = self.unary::<codec::RawTxnOutcome>("txn", TXN, &req, kind);
        done.await?.decode()
    }

    /// Requests a lease of `ttl`, rounded up to whole seconds.
    ///
    /// # Errors
    ///
    /// When no endpoint grants it. A lease whose answer was lost lapses by itself, so the call can be
    /// repeated.
    pub async fn grant(&self, ttl: Duration) -> Result<kv::Lease> {
        let secs = ttl.as_millis().div_ceil(1000).max(1);
        let req = json!({ "TTL": secs.to_string() });
        let lease: codec::RawLease = self
            .unary("lease_grant", LEASE_GRANT, &req, CallKind::Write)
            .await?;
        decode_lease(&lease)
    }

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseGone`] when it has lapsed or was revoked.
    pub async fn keep_alive(&self, id: kv::LeaseId) -> Result<kv::Lease> {
        let req = json!({ "ID": id.to_string() });
        // Renewal is idempotent, so it is retried like a read.
        let line: codec::Line<codec::RawLease> = self
            .unary("lease_keep_alive", LEASE_KEEP_ALIVE, &req, CallKind::Read)
            .await?;
        match line.result {
            Some(lease) if lease.id.0 != id => Err(codec::malformed("ID", &lease.id.0)),
            Some(lease) if lease.ttl.0 == 0 => Err(Error::LeaseGone { id }),
            Some(lease) => decode_lease(&lease),
            None => Err(refusal(200, line.error.unwrap_or_default())),
        }
    }

    /// Ends a lease and deletes the keys bound to it.
    ///
    /// # Errors
    ///
    /// [`Error::LeaseGone`] when it has already ended.
    pub async fn revoke(&self, id: kv::LeaseId) -> Result<()> {
        let req = json!({ "ID": id.to_string() });
        let done = self
            .unary::<serde::de::IgnoredAny>("lease_revoke", LEASE_REVOKE, &req, CallKind::Read)
            .await;
        match done {
            Ok(_) => Ok(()),
            Err(Error::Refused {
                code: GRPC_NOT_FOUND,
                ..
            }) => Err(Error::LeaseGone { id }),
            Err(err) => Err(err),
        }
    }

    /// Watches all keys that begin with `prefix`, from `from_revision` on (0 for changes from now on).
    ///
    /// The connection is opened by the first [`watch::Watch::next`].
    pub fn watch(&self, prefix: impl Into<String>, from_revision: i64) -> watch::Watch {
        watch::Watch::new(self.clone(), prefix.into(), from_revision)
    }

    /// Posts `req` and decodes the JSON of the answer.
    async fn unary<T>(&self, op: &'static str, path: &str, req: &Value, kind: CallKind) -> Result<T>
    where
        T: for<'de> Deserialize<'de>,
    {
        let answer = self.call_with_retries(op, path, req, kind).await?;
        codec::parse(&answer)
    }

    async fn call_with_retries(
        &self,
        op: &'static str,
        path: &str,
        req: &Value,
        kind: CallKind,
    ) -> Result<bytes::Bytes> {
        let endpoints = self.shared.opts.endpoints.len();
        let tries = match kind {
            CallKind::Read => endpoints.max(MIN_READ_TRIES),
            CallKind::Write => endpoints,
        };
        for _ in 1..tries {
            match self.call_once(op, path, req).await {
                Err(err) if should_retry(&err, kind) => (),
                result => return result,
            }
        }
        self.call_once(op, path, req).await
    }

    /// One try on the current endpoint.
    async fn call_once(&self, op: &'static str, path: &str, req: &Value) -> Result<bytes::Bytes> {
        let (index, uri) = self.endpoint(path);
        let pool = self.shared.pool.read().clone();
        let result = match pool.post_json(&uri, req).await {
            Ok(answer) if answer.status == StatusCode::OK => Ok(answer.body),
            Ok(answer) => {
                let raw = serde_json::from_slice(&answer.body).unwrap_or_default();
                Err(refusal(answer.status.as_u16(), raw))
            }
            Err(err) => Err(Error::from(err)),
        };
        count(op, result.as_ref().err());
        if let Err(err) = &result {
            self.record_failure(index, err);
        }
        result
    }

    /// Opens a streamed response.
    pub(crate) async fn open(
        &self,
        path: &str,
        req: &Value,
    ) -> Result<http::Response<hyper::body::Incoming>> {
        let (index, uri) = self.endpoint(path);
        let pool = self.shared.pool.read().clone();
        let result = open_stream(&pool, &uri, req).await;
        count("watch", result.as_ref().err());
        if let Err(err) = &result {
            self.record_failure(index, err);
        }
        result
    }

    fn endpoint(&self, path: &str) -> (usize, String) {
        let index = self.shared.first.load(Ordering::Relaxed);
        let endpoints = &self.shared.opts.endpoints;
        let base = endpoints.get(index % endpoints.len().max(1));
        let base = base.map_or("http://127.0.0.1:0", String::as_str);
        (index, format!("{base}{path}"))
    }

    /// Switches to the next endpoint, and to a new pool if an answer was lost.
    ///
    /// A dead connection looks idle and healthy, and every call over it times out while new connections
    /// work. After one lost answer the whole pool is replaced, so that at most one call pays its time-out.
    fn record_failure(&self, index: usize, err: &Error) {
        let endpoints = self.shared.opts.endpoints.len().max(1);
        let next = (index + 1) % endpoints;
        let first = &self.shared.first;
        // Of several concurrent failures on one endpoint, only the first switches.
        let _ = first.compare_exchange(index, next, Ordering::Relaxed, Ordering::Relaxed);
        if matches!(err, Error::AnswerLost { .. }) {
            self.renew_connections();
        }
    }

    /// Replaces the connection pool, so that all later calls use new connections.
    pub(crate) fn renew_connections(&self) {
        *self.shared.pool.write() = new_pool(&self.shared.opts);
    }
}

/// gRPC status code of "not found".
const GRPC_NOT_FOUND: u32 = 5;

async fn open_stream(
    pool: &fw_http::Client,
    uri: &str,
    req: &Value,
) -> Result<http::Response<hyper::body::Incoming>> {
    let req = fw_http::json_request(http::Method::POST, uri, req)?;
    let answer = pool.stream(req).await?;
    if answer.status() != StatusCode::OK {
        return Err(refusal(
            answer.status().as_u16(),
            codec::RawError::default(),
        ));
    }
    Ok(answer)
}

fn should_retry(err: &Error, kind: CallKind) -> bool {
    match (err, kind) {
        (Error::Unreachable { .. }, _) => true,
        (Error::AnswerLost { .. }, CallKind::Read) => true,
        (Error::Refused { .. }, CallKind::Read) => err.may_have_applied(),
        _ => false,
    }
}

fn new_pool(opts: &Options) -> fw_http::Client {
    fw_http::Client::new(fw_http::Options {
        connect_timeout: opts.timeout,
        head_timeout: opts.timeout,
        body_timeout: opts.timeout,
        ..fw_http::Options::default()
    })
}

fn base_uri(endpoint: &str) -> String {
    let endpoint = endpoint.trim_end_matches('/');
    if endpoint.contains("://") {
        endpoint.to_owned()
    } else {
        format!("http://{endpoint}")
    }
}

fn decode_lease(raw: &codec::RawLease) -> Result<kv::Lease> {
    if raw.id.0 == 0 {
        return Err(codec::malformed("ID", &raw.id.0));
    }
    match u64::try_from(raw.ttl.0) {
        Ok(secs @ 1..) => Ok(kv::Lease {
            id: raw.id.0,
            ttl: Duration::from_secs(secs),
        }),
        _ => Err(codec::malformed("TTL", &raw.ttl.0)),
    }
}

fn refusal(status: u16, raw: codec::RawError) -> Error {
    Error::Refused {
        status,
        code: raw.code,
        message: raw.message,
    }
}

fn count(op: &'static str, err: Option<&Error>) {
    let outcome = err.map_or("ok", Error::label);
    metrics::counter!(CALLS_TOTAL, "op" => op, "outcome" => outcome).increment(1);
}
