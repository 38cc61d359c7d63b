//! Callers' connections: accepted, limited, and closed without interrupting a request.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_plan::intake;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::{Request, Response, StatusCode, service};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::process::{gate, held_bytes, memory};
use crate::request::ingress;

/// Backlog of connections that wait to be accepted. A longer backlog costs nothing; when it overflows,
/// callers lose seconds.
const BACKLOG: u32 = 1_024;
/// Pause after a failed accept, for example when no file descriptor is free.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Size of the read buffer of a caller's connection: a head of the maximum length and a part of the body.
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

/// Serves callers on `listener` until `stop`, and then until all requests in flight are answered.
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

/// Serves the requests of one connection.
fn serve_connection(
    stream: TcpStream,
    gate: &Arc<gate::Gate>,
    graceful: &GracefulShutdown,
) -> impl Future<Output = ()> + use<> {
    // Fails only on a socket that is already closed, which the first read detects.
    let _ = stream.set_nodelay(true);
    let shared = Arc::clone(gate);
    let end = gate.fleet.features.held_bytes();
    let end = end.then(held_bytes::ConnectionEnd::default);
    let attached = end.clone();
    let handler = service::service_fn(move |mut req: Request<Incoming>| {
        let gate = Arc::clone(&shared);
        if let Some(end) = &attached {
            req.extensions_mut().insert(end.clone());
        }
        async move { Ok::<_, Infallible>(ingress::handle(gate, req).await) }
    });
    let limits = ingress::limits(gate);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timeout also runs between requests, so it must not be shorter than the idle timeout.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
        .max_buf_size(READ_BUFFER_BYTES.max(limits.header_bytes))
        .serve_connection(TokioIo::new(stream), handler);
    let connection = graceful.watch(connection);
    let kind = memory::Kind::CallerConnections;
    let held = gate.memory.hold(kind, intake::CONNECTION_BYTES);
    async move {
        let _held = held;
        // If the caller broke the connection, its request in flight was cancelled with it.
        let ended = async {
            match &end {
                Some(end) => end.0.cancelled().await,
                None => std::future::pending().await,
            }
        };
        let result = tokio::select! {
            result = connection => result,
            () = ended => return,
        };
        if let Err(err) = result {
            tracing::debug!(%err, "a caller's connection ended");
        }
    }
}

/// Serves small text pages, such as the readiness check, on `listener`; never returns.
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
            // The client may disconnect without waiting for the answer.
            let _ = connection.await;
        });
        while connections.try_join_next().is_some() {}
    }
}
