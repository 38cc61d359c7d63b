//! HTTP client of the model engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fw_base::id;
use fw_conf::side;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::header;
use hyper::http;
use serde::Deserialize;
use serde_json::json;

/// Header with the request id, used to cancel and resume the request.
const REQUEST_ID: &str = "x-request-id";
/// Header with the program whose prefix cache the request uses.
const PROGRAM: &str = "x-program";

/// Timeout of short requests, such as load reports.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of bytes read from an error body.
const MAX_ERROR_BODY_BYTES: usize = 2_048;

/// Load report of the engine. Unknown fields are ignored, missing ones are 0.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Number of the engine's run; a different one means that the engine was restarted.
    pub incarnation: u64,
    /// Cache in use, in tokens.
    pub cache_used: id::Tokens,
    /// Cache capacity, in tokens.
    pub cache_size: id::Tokens,
    /// Maximum batch size.
    pub batch: u32,
    /// Age of the report when it was sent, in milliseconds.
    pub age_ms: u64,
    /// Whether the engine is leaving.
    pub leaving: bool,
}

/// A change in the engine's KV cache.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event log, starting at 1; a gap means that events were missed.
    pub seq: u64,
    /// The program.
    pub program: id::ProgramId,
    /// Cached tokens after the change.
    pub tokens: id::Tokens,
}

#[derive(Deserialize)]
struct CacheEvents {
    events: Vec<CacheEvent>,
}

/// Result of a command to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The engine executed it, or there was nothing to do.
    Confirmed,
    /// No response, or an error response.
    Unconfirmed,
}

/// Client with two connection pools: one for streams, one for short requests.
#[derive(Debug)]
pub struct Client {
    base: String,
    streams: fw_http::Client,
    control: fw_http::Client,
    resume_options: fw_http::Options,
}

impl Client {
    /// Creates a client of the engine in `cfg`.
    pub fn new(cfg: &side::Engine) -> Self {
        let streams = fw_http::Options {
            connect_timeout: cfg.connect_timeout,
            head_timeout: cfg.first_token_timeout,
            ..fw_http::Options::default()
        };
        let control = fw_http::Options {
            connect_timeout: cfg.connect_timeout,
            head_timeout: CONTROL_TIMEOUT,
            body_timeout: CONTROL_TIMEOUT,
            ..fw_http::Options::default()
        };
        let resume_options = fw_http::Options {
            connect_timeout: cfg.connect_timeout,
            head_timeout: cfg.between_tokens_timeout,
            ..fw_http::Options::default()
        };
        Self {
            base: base_url(cfg.address),
            resume_options,
            streams: fw_http::Client::new(streams),
            control: fw_http::Client::new(control),
        }
    }

    /// Sends a chat completion with the request id `id`.
    ///
    /// # Errors
    ///
    /// As [`fw_http::Client::stream`].
    pub async fn complete(
        &self,
        id: &str,
        program: &id::ProgramId,
        body: Bytes,
    ) -> Result<http::Response<Incoming>, fw_http::Error> {
        let req = http::Request::post(format!("{}/v1/chat/completions", self.base))
            .header(header::CONTENT_TYPE, "application/json")
            .header(REQUEST_ID, id)
            .header(PROGRAM, program.as_str())
            .body(Full::from(body));
        self.send(req).await
    }

    /// Resumes the stream of the completion `id` at chunk `offset`, over a new connection.
    ///
    /// # Errors
    ///
    /// As [`fw_http::Client::stream`].
    pub async fn resume(
        &self,
        id: &str,
        offset: usize,
    ) -> Result<http::Response<Incoming>, fw_http::Error> {
        let uri = format!("{}/streams/{id}?offset={offset}", self.base);
        // A pooled connection may be as unresponsive as the abandoned one.
        let req = http::Request::get(uri)
            .header(header::CONNECTION, "close")
            .body(Full::default());
        let client = fw_http::Client::new(self.resume_options.clone());
        match req {
            Ok(req) => client.stream(req).await,
            Err(source) => Err(fw_http::Error::Build { source }),
        }
    }

    /// Cancels the completion `id`.
    pub async fn cancel(&self, id: &str) -> CommandResult {
        self.send_command("/cancel", &json!({ "id": id })).await
    }

    /// Releases the cache of `program`. `fence` is for engines that check fencing numbers.
    pub async fn release(&self, program: &id::ProgramId, fence: id::Fence) -> CommandResult {
        let body = json!({ "program": program, "fence": fence });
        self.send_command("/cache/release", &body).await
    }

    /// Fetches the load report.
    ///
    /// # Errors
    ///
    /// As [`fw_http::Client::get`], and when the response is not a load report.
    pub async fn load(&self) -> Result<Report, fw_http::Error> {
        let answer = self.control.get(&format!("{}/load", self.base)).await?;
        parse(&answer.body)
    }

    /// Fetches the cache events after `from`.
    ///
    /// # Errors
    ///
    /// As [`fw_http::Client::get`], and when the response is malformed.
    pub async fn cache_events(&self, from: u64) -> Result<Vec<CacheEvent>, fw_http::Error> {
        let uri = format!("{}/cache/events?from={from}", self.base);
        let answer = self.control.get(&uri).await?;
        let events: CacheEvents = parse(&answer.body)?;
        Ok(events.events)
    }

    async fn send(
        &self,
        req: Result<http::Request<Full<Bytes>>, http::Error>,
    ) -> Result<http::Response<Incoming>, fw_http::Error> {
        match req {
            Ok(req) => self.streams.stream(req).await,
            Err(source) => Err(fw_http::Error::Build { source }),
        }
    }

    async fn send_command(&self, path: &str, body: &serde_json::Value) -> CommandResult {
        let uri = format!("{}{path}", self.base);
        match self.control.post_json(&uri, body).await {
            Ok(answer) if answer.status.is_success() => CommandResult::Confirmed,
            // A request or program that is unknown to the engine needs neither cancelling nor
            // releasing.
            Ok(answer) if answer.status == http::StatusCode::NOT_FOUND => CommandResult::Confirmed,
            _ => CommandResult::Unconfirmed,
        }
    }
}

/// Whether the connection was refused. A slow engine does not cause this error, so it means that no
/// process listens at the address.
pub fn is_connection_refused(err: &fw_http::Error) -> bool {
    let fw_http::Error::Connect { source, .. } = err else {
        return false;
    };
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(source);
    while let Some(err) = cause {
        let io = err.downcast_ref::<std::io::Error>();
        if io.is_some_and(|io| io.kind() == std::io::ErrorKind::ConnectionRefused) {
            return true;
        }
        cause = err.source();
    }
    false
}

/// Reads the beginning of an error body as text.
pub async fn error_text(body: Incoming) -> String {
    let whole = Limited::new(body, MAX_ERROR_BODY_BYTES).collect();
    match tokio::time::timeout(CONTROL_TIMEOUT, whole).await {
        Ok(Ok(body)) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
        _ => String::new(),
    }
}

fn base_url(addr: SocketAddr) -> String {
    format!("http://{addr}")
}

fn parse<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, fw_http::Error> {
    serde_json::from_slice(body).map_err(|source| fw_http::Error::Json { source })
}
