//! A pooled HTTP client with a timeout on every call, over hyper-util.
//!
//! Used for calls to the platform, to upstreams and, from the command line, to an entry.

pub mod socket;

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::{Body, Incoming};
use hyper::http;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use snafu::ResultExt;
use snafu::Snafu;

/// Memory for one body that is being read.
pub trait Room {
    /// Holds `bytes` for the body in place of what it held before; `false` if there is no room for them.
    fn resize(&mut self, bytes: usize) -> bool;
}

/// As much memory as the body takes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Unlimited;

impl Room for Unlimited {
    fn resize(&mut self, _: usize) -> bool {
        true
    }
}

/// There is no memory for the rest of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no memory is left for a body of {bytes} bytes"))]
pub struct NoRoom {
    /// Bytes that were to be held for the body.
    pub bytes: usize,
}

/// Reads a body of at most `max` bytes whole, into memory that `room` grants. Frames are copied: a sender may send one
/// for each byte, and a frame that is kept takes tens of bytes.
///
/// # Errors
///
/// The body's own, [`http_body_util::LengthLimitError`] when it is longer, and [`NoRoom`].
pub async fn read_whole<B>(body: B, max: usize, room: &mut impl Room) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(Limited::new(body, max));
    let mut first = Bytes::new();
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        let bytes = first.len() + whole.len() + data.len();
        if bytes > whole.capacity() {
            // Twice as much at a time, so that a byte is copied a few times only.
            let single = first.is_empty() && whole.is_empty();
            let capacity = if single {
                bytes
            } else {
                bytes.max(2 * whole.capacity()).min(max)
            };
            if !room.resize(capacity) {
                return Err(NoRoom { bytes: capacity }.into());
            }
            if single {
                first = data;
                continue;
            }
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&std::mem::take(&mut first));
        whole.extend_from_slice(&data);
    }
    match whole.is_empty() {
        true => Ok(first),
        false => Ok(Bytes::from(whole)),
    }
}

/// Why a body could not be read.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Time-outs and limits of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Longest wait for a TCP connection.
    pub connect_timeout: Duration,
    /// Longest wait from sending a request to receiving the response head.
    pub head_timeout: Duration,
    /// Longest wait for the whole body of a collected response.
    pub body_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Maximum body size of a collected response, in bytes.
    pub max_body: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
            max_body: 64 << 20,
        }
    }
}

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// No connection was made, so no byte of the request was sent.
    #[snafu(display("cannot connect to {uri}: {source}"))]
    Connect {
        /// The address called.
        uri: String,
        /// The connector's error.
        source: legacy::Error,
    },
    /// The connection failed after bytes may have been sent.
    #[snafu(display("call to {uri} failed: {source}"))]
    Call {
        /// The address called.
        uri: String,
        /// The client's error.
        source: legacy::Error,
    },
    /// The answer did not arrive in time.
    #[snafu(display("{uri} did not answer within {after:?}"))]
    Timeout {
        /// The address called.
        uri: String,
        /// The timeout that passed.
        after: Duration,
    },
    /// The response body was truncated or too large.
    #[snafu(display("cannot read the response body: {source}"))]
    Body {
        /// The error of the body reader.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// The request could not be built.
    #[snafu(display("cannot build the request: {source}"))]
    Build {
        /// The invalid part.
        source: http::Error,
    },
    /// The request body could not be serialized as JSON.
    #[snafu(display("cannot serialize the request as JSON: {source}"))]
    Json {
        /// The serializer's error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether no byte of the request can have reached the server.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect { .. } | Self::Build { .. } | Self::Json { .. }
        )
    }
}

/// A response whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A client whose clones share one pool of connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: legacy::Client<HttpConnector, Full<Bytes>>,
    opts: Options,
}

impl Client {
    /// A client without connections yet.
    pub fn new(opts: Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(opts.connect_timeout));
        connector.set_nodelay(true);
        // Without probes, each call over a dead pooled connection would wait for its time-out.
        connector.set_keepalive(Some(socket::KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(socket::KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(socket::KEEPALIVE_RETRIES));
        let pool = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_idle_timeout(opts.idle_timeout)
            // A request is sent at most once; the caller decides on retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, opts }
    }

    /// Sends `req` and returns once the response head has arrived.
    ///
    /// # Errors
    ///
    /// [`Error::is_unsent`] is false if the server may have received the request.
    pub async fn stream(
        &self,
        req: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, Error> {
        let uri = req.uri().to_string();
        let after = self.opts.head_timeout;
        match tokio::time::timeout(after, self.pool.request(req)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(source)) if source.is_connect() => Err(Error::Connect { uri, source }),
            Ok(Err(source)) => Err(Error::Call { uri, source }),
            Err(_) => Err(Error::Timeout { uri, after }),
        }
    }

    /// Sends `req` and collects the response.
    ///
    /// # Errors
    ///
    /// As [`Client::stream`], and when the body is truncated, late or too large.
    pub async fn call(&self, req: http::Request<Full<Bytes>>) -> Result<Answer, Error> {
        let uri = req.uri().to_string();
        let (head, body) = self.stream(req).await?.into_parts();
        let after = self.opts.body_timeout;
        let mut room = Unlimited;
        let whole = read_whole(body, self.opts.max_body, &mut room);
        let body = match tokio::time::timeout(after, whole).await {
            Ok(Ok(body)) => body,
            Ok(Err(source)) => return Err(Error::Body { source }),
            Err(_) => return Err(Error::Timeout { uri, after }),
        };
        Ok(Answer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Posts `value` as JSON and collects the response.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn post_json<T: serde::Serialize>(
        &self,
        uri: &str,
        value: &T,
    ) -> Result<Answer, Error> {
        self.call(json_request(http::Method::POST, uri, value)?)
            .await
    }

    /// Gets `uri` and collects the response.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn get(&self, uri: &str) -> Result<Answer, Error> {
        let req = http::Request::get(uri).body(Full::default());
        self.call(req.context(BuildSnafu)?).await
    }
}

impl Default for Client {
    fn default() -> Self {
        Self::new(Options::default())
    }
}

/// A request with `value` as its JSON body.
///
/// # Errors
///
/// When `uri` is not a valid URI, or `value` cannot be serialized as JSON.
pub fn json_request<T: serde::Serialize>(
    method: http::Method,
    uri: &str,
    value: &T,
) -> Result<http::Request<Full<Bytes>>, Error> {
    let body = serde_json::to_vec(value).context(JsonSnafu)?;
    http::Request::builder()
        .method(method)
        .uri(uri)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::from(body))
        .context(BuildSnafu)
}
