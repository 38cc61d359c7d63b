//! One connection to an upstream, used for one call at a time.

use std::error;
use std::io;
use std::iter;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use fw_http::socket;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response, header};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Timeout for connecting. Within a region a connection takes a millisecond; an upstream that is down or
/// unreachable never answers, and the call can be sent to another, as nothing was sent yet.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long an idle connection stays usable if the upstream states no keep-alive timeout. It states whole
/// seconds only, so without one its timeout may be below a second.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(500);
/// Fraction of the upstream's keep-alive timeout after which an idle connection is no longer used: a call
/// sent while the upstream closes the connection would fail, and may not be sent again.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// The connection's task; dropping it aborts the task and closes the connection.
#[derive(Debug)]
struct Task(JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A connection to an upstream. Dropping it closes the connection at once, at which the upstream stops
/// working on the call.
#[derive(Debug)]
pub struct Link {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: Task,
    used: bool,
    idle_since: Instant,
    keep_alive: Duration,
}

async fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
    let fresh = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, fresh.connect(addr)).await??;
    socket::set_options(&socket2::SockRef::from(&stream))?;
    Ok(stream)
}

impl Link {
    /// Connects to `addr`.
    ///
    /// # Errors
    ///
    /// When no connection is made in time. Nothing was sent then.
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = dial(addr).await?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 << 10)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            // The error is also returned to the call in flight.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            _task: Task(task),
            used: false,
            idle_since: Instant::now(),
            keep_alive: DEFAULT_KEEP_ALIVE,
        })
    }

    /// Whether a call may be sent: the connection is open and has not been idle for too long.
    pub fn is_usable(&self) -> bool {
        !self.sender.is_closed()
            && self.sender.is_ready()
            && self.idle_since.elapsed() < self.keep_alive
    }

    /// Whether a call was sent on it before.
    pub fn was_used(&self) -> bool {
        self.used
    }

    /// Sends `req` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// When the connection fails; [`SendError::unsent`] states whether any byte may have been sent.
    pub async fn send(
        &mut self,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        let first = !std::mem::replace(&mut self.used, true);
        let answer = self.sender.try_send_request(req).await;
        let res = answer.map_err(|mut err| SendError {
            unsent: err.take_message().is_some(),
            reused: !first,
            unreadable: is_unreadable(err.error()),
            message: err.error().to_string(),
        })?;
        self.keep_alive = keep_alive(&res);
        Ok(res)
    }

    /// Marks the connection as idle, after the answer of its call was read completely.
    pub fn mark_idle(&mut self) {
        self.idle_since = Instant::now();
    }
}

/// Whether `err` or one of its causes says that the upstream's bytes are no answer in the protocol, rather than that
/// its connection broke.
pub fn is_unreadable(err: &(dyn error::Error + 'static)) -> bool {
    let is_malformed = |err: &io::Error| {
        let kinds = [io::ErrorKind::InvalidData, io::ErrorKind::InvalidInput];
        kinds.contains(&err.kind())
    };
    let causes = iter::successors(Some(err), |err| err.source());
    causes.into_iter().any(|err| {
        let unparsed = err.downcast_ref::<hyper::Error>();
        unparsed.is_some_and(hyper::Error::is_parse)
            || err.downcast_ref::<io::Error>().is_some_and(is_malformed)
    })
}

/// A call whose connection failed before the head of an answer came.
#[derive(Clone, Debug)]
pub struct SendError {
    /// Whether no byte of the call was sent.
    pub unsent: bool,
    /// Whether the connection had served a call before.
    pub reused: bool,
    /// Whether the upstream sent bytes that are no head of an answer.
    pub unreadable: bool,
    /// The connection's error.
    pub message: String,
}

fn keep_alive<T>(res: &Response<T>) -> Duration {
    let header = res
        .headers()
        .get(header::HeaderName::from_static("keep-alive"));
    let header = header.and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| {
        let mut parts = text.split(',');
        parts.find_map(|part| part.trim().strip_prefix("timeout=")?.parse::<u32>().ok())
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| {
        Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_FRACTION)
    })
}
