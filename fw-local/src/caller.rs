//! A client of OpenAI's API that calls an entry and collects the answer.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use fw_base::error;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http;
use serde_json::Value;
use serde_json::json;

/// Longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest wait for the next chunk of a streamed answer.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);

/// A caller. Clones share its connections.
#[derive(Clone, Debug)]
pub struct Caller {
    http: fw_http::Client,
    key: Option<String>,
}

/// One chat completion request.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The model.
    pub model: String,
    /// The messages.
    pub messages: Vec<Value>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Most tokens to generate, if set.
    pub max_tokens: Option<u64>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

impl Default for Chat {
    fn default() -> Self {
        Self {
            model: crate::system::MODEL.to_owned(),
            messages: Vec::new(),
            stream: false,
            max_tokens: None,
            headers: Vec::new(),
        }
    }
}

/// The answer to a call, as far as it was received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status; 0 if no answer was received.
    pub status: u16,
    /// The answer's text, as far as it was received.
    pub text: String,
    /// Whether the answer was received completely: the whole body, or a stream up to `[DONE]`.
    pub whole: bool,
    /// Kind of the error, if one was received.
    pub kind: Option<error::Kind>,
    /// Whether the call ran, as stated by the error.
    pub ran: Option<error::Ran>,
    /// Delay before a retry, as stated by the error.
    pub retry_after: Option<Duration>,
    /// The program, from the answer's headers.
    pub program: Option<String>,
    /// The turn, from the answer's headers.
    pub turn: Option<u32>,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of prompt tokens served from a cache.
    pub cached: u64,
    /// Number of tokens generated.
    pub completion: u64,
    /// Time to the first chunk of text.
    pub first: Duration,
    /// Time to the end of the answer.
    pub took: Duration,
    /// The body of an answer that was not streamed, if it is JSON.
    pub body: Value,
}

impl Answer {
    /// Whether the answer was received completely and without an error.
    pub fn is_ok(&self) -> bool {
        self.status == 200 && self.whole && self.kind.is_none()
    }

    /// The answer as a message of the next turn's history.
    pub fn message(&self) -> Value {
        json!({ "role": "assistant", "content": self.text })
    }
}

impl Caller {
    /// Creates a caller without a key.
    pub fn new() -> Self {
        let http = fw_http::Client::new(fw_http::Options {
            head_timeout: HEAD_TIMEOUT,
            body_timeout: HEAD_TIMEOUT,
            ..fw_http::Options::default()
        });
        Self { http, key: None }
    }

    /// Sets the bearer key.
    pub fn with_key(self, key: &str) -> Self {
        Self {
            key: Some(key.to_owned()),
            ..self
        }
    }

    /// Sends a chat completion request to the entry at `addr`.
    pub async fn chat(&self, addr: SocketAddr, chat: &Chat) -> Answer {
        let mut body = json!({
            "model": chat.model,
            "messages": chat.messages,
            "stream": chat.stream,
        });
        if chat.stream {
            body["stream_options"] = json!({ "include_usage": true });
        }
        if let Some(most) = chat.max_tokens {
            body["max_tokens"] = most.into();
        }
        let path = "/v1/chat/completions";
        let headers = &chat.headers;
        let started = Instant::now();
        let answer = self
            .send(addr, "POST", path, headers, body.to_string().into())
            .await;
        let Some(answer) = answer else {
            return Answer::default();
        };
        let streamed = chat.stream && answer.status() == http::StatusCode::OK;
        let mut result = head(&answer);
        match streamed {
            true => read_stream(answer.into_body(), started, &mut result).await,
            false => read_whole(answer.into_body(), started, &mut result).await,
        }
        result.took = started.elapsed();
        result
    }

    /// Sends any other request and collects the answer.
    pub async fn plain(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
    ) -> Answer {
        let started = Instant::now();
        let Some(answer) = self.send(addr, method, path, headers, body).await else {
            return Answer::default();
        };
        let mut result = head(&answer);
        read_whole(answer.into_body(), started, &mut result).await;
        result.took = started.elapsed();
        result
    }

    async fn send(
        &self,
        addr: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&'static str, String)],
        body: Bytes,
    ) -> Option<http::Response<Incoming>> {
        let mut req = http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if let Some(key) = &self.key {
            req = req.header("authorization", format!("Bearer {key}"));
        }
        for (name, value) in headers {
            req = req.header(*name, value);
        }
        let req = req.body(Full::from(body)).ok()?;
        self.http.stream(req).await.ok()
    }
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

fn head(answer: &http::Response<Incoming>) -> Answer {
    let header = |name: &str| {
        let value = answer.headers().get(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    Answer {
        status: answer.status().as_u16(),
        program: header("x-program"),
        turn: header("x-turn").and_then(|turn| turn.parse().ok()),
        ..Answer::default()
    }
}

async fn read_whole(body: Incoming, started: Instant, result: &mut Answer) {
    let collected = tokio::time::timeout(CHUNK_TIMEOUT, body.collect()).await;
    let Ok(Ok(collected)) = collected else {
        return;
    };
    let bytes = collected.to_bytes();
    result.first = started.elapsed();
    result.whole = true;
    result.text = String::from_utf8_lossy(&bytes).into_owned();
    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
        return;
    };
    parse_error(&value, result);
    parse_usage(&value, result);
    let content = value.pointer("/choices/0/message/content");
    if let Some(content) = content.and_then(Value::as_str) {
        result.text = content.to_owned();
    }
    result.body = value;
}

async fn read_stream(mut body: Incoming, started: Instant, result: &mut Answer) {
    let mut rest = String::new();
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(CHUNK_TIMEOUT, body.frame()).await {
        let Some(data) = frame.data_ref() else {
            continue;
        };
        rest.push_str(&String::from_utf8_lossy(data));
        while let Some(end) = rest.find("\n\n") {
            let line: String = rest.drain(..end + 2).collect();
            handle_event(line.trim(), started, result);
        }
    }
}

fn handle_event(line: &str, started: Instant, result: &mut Answer) {
    let Some(data) = line.strip_prefix("data: ") else {
        return;
    };
    if data == "[DONE]" {
        result.whole = true;
        return;
    }
    let Ok(value) = serde_json::from_str::<Value>(data) else {
        return;
    };
    parse_error(&value, result);
    parse_usage(&value, result);
    let content = value.pointer("/choices/0/delta/content");
    if let Some(content) = content.and_then(Value::as_str) {
        if result.text.is_empty() {
            result.first = started.elapsed();
        }
        result.text.push_str(content);
    }
}

fn parse_error(value: &Value, result: &mut Answer) {
    let Some(err) = value.get("error") else {
        return;
    };
    let field = |name: &str| err.get(name).cloned().unwrap_or_default();
    result.kind = serde_json::from_value(field("kind")).ok();
    result.ran = serde_json::from_value(field("ran")).ok();
    let after = field("retry_after").as_f64();
    result.retry_after = after.and_then(|secs| Duration::try_from_secs_f64(secs).ok());
}

fn parse_usage(value: &Value, result: &mut Answer) {
    let Some(usage) = value.get("usage").filter(|usage| usage.is_object()) else {
        return;
    };
    let count = |path: &str| usage.pointer(path).and_then(Value::as_u64).unwrap_or(0);
    result.prompt = count("/prompt_tokens");
    result.completion = count("/completion_tokens");
    result.cached = count("/prompt_tokens_details/cached_tokens");
}
