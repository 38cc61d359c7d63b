//! Stand-in for a client: sends one request on a new connection and reads the answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::record::Record;

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub path: String,
    /// Further headers, by name and value.
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub id: String,
    pub data: String,
}

/// An answer, as far as it came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if none came.
    pub status: u16,
    /// Whole events.
    pub events: Vec<Event>,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
    /// Body of an answer that is no stream.
    pub text: String,
    pub retry_after: Option<Duration>,
}

impl Answer {
    /// Whether the client has a success with its whole body.
    pub fn is_success(&self) -> bool {
        self.status == 200 && self.is_complete
    }
}

/// Host of all requests.
pub const HOST: &str = "agents.example";

/// Sends `request` to the entry at `addr`, and records it with its answer.
pub async fn send(addr: SocketAddr, request: &Request, record: &Record) -> Answer {
    let headers: Vec<_> = request
        .headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    record.line(&format!(
        "client sends {} to {addr}: {} bytes; {}",
        request.id,
        request.body.len(),
        headers.join("; ")
    ));
    let mut answer = Answer::default();
    let limit = request.deadline + Duration::from_millis(500);
    let ended = match tokio::time::timeout(limit, exchange(addr, request, &mut answer)).await {
        Ok(Ok(())) => String::from("ended"),
        Ok(Err(err)) => format!("broke off: {err}"),
        Err(_) => String::from("given up"),
    };
    record.line(&format!(
        "client got for {}: status {}, {} events, complete: {}; {ended}; {}",
        request.id,
        answer.status,
        answer.events.len(),
        answer.is_complete,
        answer.text
    ));
    answer
}

/// Sends a turn that nothing should disturb until it is answered whole: again from its start after a failure, under
/// another id, as programs do. Returns the id and the answer of the last attempt.
pub async fn send_again(addr: SocketAddr, request: &Request, record: &Record) -> (String, Answer) {
    let mut request = request.clone();
    let name = request.id.clone();
    for attempt in 0..4 {
        request.id = format!("{name}.{attempt}");
        let answer = send(addr, &request, record).await;
        if answer.is_success() || attempt == 3 {
            return (request.id, answer);
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    (request.id, Answer::default())
}

async fn exchange(addr: SocketAddr, request: &Request, answer: &mut Answer) -> io::Result<()> {
    let connecting = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(addr));
    let mut stream = connecting
        .await
        .map_err(|_| io::Error::other("no connection in time"))??;
    stream.set_nodelay(true)?;
    let mut head = format!(
        "POST {} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {}\r\nX-Request-Deadline-Ms: {}\r\nContent-Length: {}\r\n",
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.body.len()
    );
    for (name, value) in &request.headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&request.body).await?;
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        fill(&mut stream, &mut buf).await?;
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end);
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    answer.status = status.ok_or_else(|| io::Error::other("no status"))?;
    let header = |name: &str| {
        let lines = text
            .split("\r\n")
            .skip(1)
            .filter_map(|line| line.split_once(':'));
        let mut found = lines.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.trim().to_owned())
    };
    let retry_after = header("retry-after").and_then(|value| value.parse().ok());
    answer.retry_after = retry_after.map(Duration::from_secs_f64);
    if let Some(length) = header("content-length") {
        let length: usize = length.parse().map_err(io::Error::other)?;
        while buf.len() < length {
            fill(&mut stream, &mut buf).await?;
        }
        answer.text = String::from_utf8_lossy(&buf[..length]).into_owned();
        answer.is_complete = true;
        return Ok(());
    }
    let mut body = Vec::new();
    loop {
        let line_end = loop {
            if let Some(at) = buf.windows(2).position(|window| window == b"\r\n") {
                break at;
            }
            fill(&mut stream, &mut buf).await?;
        };
        let size = String::from_utf8_lossy(&buf[..line_end]).into_owned();
        let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
        while buf.len() < line_end + 2 + size + 2 {
            fill(&mut stream, &mut buf).await?;
        }
        if size == 0 {
            answer.is_complete = true;
            return Ok(());
        }
        body.extend_from_slice(&buf[line_end + 2..line_end + 2 + size]);
        buf.drain(..line_end + 2 + size + 2);
        while let Some(at) = body.windows(2).position(|window| window == b"\n\n") {
            let event = String::from_utf8_lossy(&body[..at]).into_owned();
            body.drain(..at + 2);
            let field = |name: &str| {
                let value = event.lines().find_map(|line| line.strip_prefix(name));
                value.unwrap_or_default().trim().to_owned()
            };
            answer.events.push(Event {
                id: field("id:"),
                data: field("data:"),
            });
        }
    }
}

async fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<()> {
    match stream.read_buf(buf).await? {
        0 => Err(io::Error::other("the connection was closed")),
        _ => Ok(()),
    }
}

/// Whether the entry at `addr` says that it is ready.
pub async fn is_ready(addr: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(addr).await?;
        let text = "GET /foxtailweir/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        stream.write_all(text.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        Ok::<_, io::Error>(answer.starts_with(b"HTTP/1.1 200"))
    };
    let checked = tokio::time::timeout(Duration::from_secs(1), check).await;
    matches!(checked, Ok(Ok(true)))
}
