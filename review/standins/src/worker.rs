//! Stand-in for a worker: runs streams, and plain requests, as PROTOCOL.md tells.
//!
//! The events of a stream depend on the prompt (its whole body) alone, so that each worker of a service goes on
//! at `Last-Event-Id` with the events that any other would have made.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::record::Record;

/// A request that a worker began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// How a worker makes streams.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Events of each stream.
    pub events: u32,
    /// Time for each event.
    pub pause: Duration,
}

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub addr: SocketAddr,
    opts: Options,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Record,
}

/// Checksum of bytes that depends on their order.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |sum, byte| {
        (sum ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Data of event `number` of the stream for a prompt.
pub fn event_data(prompt: &[u8], number: u32) -> String {
    format!("{:016x}.{number}", checksum(prompt))
}

impl Worker {
    pub async fn start(id: &str, opts: Options, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let worker = Self {
            id: id.to_owned(),
            addr: listener.local_addr()?,
            opts,
            runs: Arc::default(),
            record: record.clone(),
        };
        let accepting = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = accepting.clone();
                // A caller may close its connection at any time.
                tokio::spawn(async move { worker.serve(stream).await.ok() });
            }
        });
        Ok(worker)
    }

    /// The requests that it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs
            .lock()
            .map(|runs| runs.clone())
            .unwrap_or_default()
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some((method, path, run)) = read_request(&mut stream, &mut buf).await? {
            let header = |name: &str| run.headers.get(name).cloned().unwrap_or_default();
            let id = header("x-request-id");
            let own = format!(
                "X-Instance-Id: {}\r\nX-Server-Load: 1,0,12\r\nKeep-Alive: timeout=5\r\n",
                self.id
            );
            let short = |status: &str, more: &str| {
                format!("HTTP/1.1 {status}\r\n{own}{more}Content-Length: 0\r\n\r\n")
            };
            let expected = header("x-expect-instance");
            if !expected.is_empty() && expected != self.id {
                let text = short("421 Misdirected", "X-Not-Executed: 1\r\n");
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            if method == "GET" && path == "/healthz" {
                stream.write_all(short("200 OK", "").as_bytes()).await?;
                continue;
            }
            if id.is_empty() {
                let text = short("400 Bad Request", "X-Not-Executed: 1\r\n");
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let body = run.body.clone();
            self.record.line(&format!(
                "worker {} runs request {id}: body of {} bytes, checksum {:016x}, Last-Event-Id `{}`",
                self.id,
                body.len(),
                checksum(&body),
                header("last-event-id"),
            ));
            if let Ok(mut runs) = self.runs.lock() {
                runs.push(run.clone());
            }
            let head = format!(
                "HTTP/1.1 200 OK\r\n{own}X-Request-Id: {id}\r\nX-Response-Signature: s.{id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).await?;
            let after: u32 = header("last-event-id").parse().unwrap_or(0);
            for number in after + 1..=self.opts.events {
                tokio::time::sleep(self.opts.pause).await;
                let event = format!("id: {number}\ndata: {}\n\n", event_data(&body, number));
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                stream.write_all(chunk.as_bytes()).await?;
            }
            stream.write_all(b"0\r\n\r\n").await?;
        }
        Ok(())
    }
}

/// Reads one request with a length; `None` once the caller has closed the connection.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<(String, String, Run)>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let method = first.next().unwrap_or_default().to_owned();
    let path = first.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while buf.len() < end + length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some((method, path, Run { headers, body })))
}
