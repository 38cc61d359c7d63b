//! Callers' connections: accepted, bounded, and closed without cutting a request.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::process::gate;
use crate::request::ingress;

/// Connections that wait to be accepted. A longer queue costs nothing; one that overflows costs
/// callers seconds.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Most bytes of a caller's connection that are buffered: a head of the longest length allowed and
/// a piece of the body.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Listens on `addr`.
///
/// # Errors
///
/// When the address cannot be used.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Serves callers on `listener` until `stop`, and then until all requests under way are answered.
pub async fn serve(listener: TcpListener, gate: Arc<gate::Gate>, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, &gate, &graceful));
                while connections.try_join_next().is_some() {}
            }
            Err(err) => {
                tracing::warn!(%err, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Answers the requests of one connection.
fn serve_connection(
    stream: TcpStream,
    gate: &Arc<gate::Gate>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    // Fails only on a socket that is closed already, which the first read shows.
    let _ = stream.set_nodelay(true);
    let shared = Arc::clone(gate);
    let handler = service::service_fn(move |req: Request<Incoming>| {
        let gate = Arc::clone(&shared);
        async move { Ok::<_, Infallible>(ingress::handle(gate, req).await) }
    });
    let limits = ingress::limits(gate);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // It runs between requests too, so it must not be shorter than a connection may be idle.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(READ_BUFFER_BYTES.max(limits.header_bytes))
        .serve_connection(TokioIo::new(stream), handler);
    let connection = graceful.watch(connection);
    async move {
        // What was under way for a caller that breaks its connection has ended with it.
        if let Err(err) = connection.await {
            tracing::debug!(%err, "a caller's connection ended");
        }
    }
}

/// Answers small questions, such as whether the process is ready, on `listener` for ever.
pub async fn serve_pages<F>(listener: TcpListener, page: F)
where
    F: Fn(&str) -> (StatusCode, String) + Clone + Send + Sync + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let page = page.clone();
        let handler = service::service_fn(move |req: Request<Incoming>| {
            let (status, text) = page(req.uri().path());
            let mut res = Response::new(Full::new(Bytes::from(text)));
            *res.status_mut() = status;
            async move { Ok::<_, Infallible>(res) }
        });
        connections.spawn(async move {
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), handler);
            // Whoever asks may leave without waiting for the answer.
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}
