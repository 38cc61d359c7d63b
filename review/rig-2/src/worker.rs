//! A worker of a plain service. A sound one answers each request whole; one in trouble does what a case says.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use crate::http;

/// What a worker in trouble sends in place of an answer.
#[derive(Clone, Debug)]
pub enum Trouble {
    /// A head, then chunks of these bytes without end, until the caller closes.
    EndlessBody { status: u16, chunk: Vec<u8> },
}

/// One request that reached a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// Whether it was answered whole.
    pub whole: bool,
    /// Bytes that were sent for an endless answer.
    pub endless_bytes: u64,
}

/// State of a worker.
pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub work: Duration,
    pub trouble: Trouble,
    pub in_trouble: AtomicBool,
    /// One in this many answers is spoiled while the worker is in trouble.
    pub one_in: u64,
    arrivals: AtomicU64,
    active: AtomicU64,
    pub runs: Mutex<BTreeMap<u64, Run>>,
}

impl Worker {
    pub async fn start(name: &str, work: Duration, trouble: Trouble, one_in: u64) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let worker = Arc::new(Self {
            name: name.to_owned(),
            addr: listener.local_addr().unwrap(),
            work,
            trouble,
            in_trouble: AtomicBool::new(false),
            one_in,
            arrivals: AtomicU64::new(0),
            active: AtomicU64::new(0),
            runs: Mutex::default(),
        });
        let accepting = Arc::clone(&worker);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let worker = Arc::clone(&accepting);
                tokio::spawn(async move {
                    // A caller that closes its connection ends the run.
                    let _ = worker.serve(stream).await;
                });
            }
        });
        worker
    }

    /// The entry of the worker in the platform's store.
    pub fn entry(&self, service: &str) -> serde_json::Value {
        serde_json::json!({
            "service": service, "address": self.addr.to_string(), "zone": "z0", "version": "v1", "slots": 6,
            "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_700_000_000_000_u64
        })
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buf = Vec::new();
        while let Some((head, _)) = read_request(&mut stream, &mut buf).await? {
            let id = http::header(&head, "x-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = http::header(&head, "x-expect-instance");
            if expected.is_some_and(|expected| expected != self.name) {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(text.as_bytes()).await?;
                continue;
            }
            let number = self.arrivals.fetch_add(1, Ordering::Relaxed);
            let run = Run {
                id: id.clone(),
                whole: false,
                endless_bytes: 0,
            };
            self.runs.lock().unwrap().insert(number, run);
            let active = self.active.fetch_add(1, Ordering::Relaxed) + 1;
            tokio::time::sleep(self.work).await;
            self.active.fetch_sub(1, Ordering::Relaxed);
            let common = format!(
                "X-Request-Id: {id}\r\nX-Response-Signature: {}.{number}\r\nX-Server-Load: {active},0,6\r\nKeep-Alive: timeout=5\r\n",
                self.name
            );
            if self.in_trouble.load(Ordering::Relaxed) && number % self.one_in == 0 {
                let Trouble::EndlessBody { status, chunk } = &self.trouble;
                let head =
                    format!("HTTP/1.1 {status} Told\r\n{common}Transfer-Encoding: chunked\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                let mut frame = format!("{:x}\r\n", chunk.len()).into_bytes();
                frame.extend_from_slice(chunk);
                frame.extend_from_slice(b"\r\n");
                let block = frame.repeat((64 << 10) / frame.len() + 1);
                loop {
                    stream.write_all(&block).await?;
                    if let Some(run) = self.runs.lock().unwrap().get_mut(&number) {
                        run.endless_bytes += block.len() as u64;
                    }
                }
            }
            let body = format!("answer of {} to {id}", self.name);
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(text.as_bytes()).await?;
            if let Some(run) = self.runs.lock().unwrap().get_mut(&number) {
                run.whole = true;
            }
        }
        Ok(())
    }
}

/// Reads one request with a length; `None` if the caller has closed the connection.
async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<(String, Vec<u8>)>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let length = http::header(&head, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0_usize);
    while buf.len() < end + length {
        if stream.read_buf(buf).await? == 0 {
            return Ok(None);
        }
    }
    let body = buf[end..end + length].to_vec();
    buf.drain(..end + length);
    Ok(Some((head, body)))
}
