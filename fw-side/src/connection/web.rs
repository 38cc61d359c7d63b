//! The HTTP server: health, metrics, the `/leave` command, and forwarding of plain calls.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware;
use axum::response::Response;
use axum::routing;
use hyper::server::conn::http1;
use hyper_util::rt;
use hyper_util::service::TowerToHyperService;
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::process::core;
use crate::request::plain;

/// Timeout for the head of a request on an open connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay after a failed accept, for example because of too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State of the HTTP handlers.
#[derive(Clone, Debug)]
pub struct HttpState {
    /// State of the side.
    pub core: Arc<core::Core>,
    /// Client of the upstream, for plain calls.
    pub plain: plain::Client,
    /// Renders `/metrics`.
    pub metrics: PrometheusHandle,
}

/// The routes. Requests to all other paths are forwarded to the upstream.
pub fn router(state: HttpState) -> Router {
    Router::new()
        .route("/healthz", routing::get(StatusCode::OK))
        .route("/readyz", routing::get(ready))
        .route("/metrics", routing::get(metrics_text))
        .route("/leave", routing::post(leave))
        .fallback(forward)
        .layer(middleware::from_fn_with_state(
            state.clone(),
            forward_entry_calls,
        ))
        .with_state(state)
}

/// Serves connections until `closing` is cancelled, then waits for the open ones to finish.
/// Dropping the future aborts all of them.
pub async fn serve(listener: TcpListener, state: HttpState, closing: CancellationToken) {
    let router = router(state);
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing.cancelled() => break,
        };
        match accepted {
            Ok((socket, _)) => {
                let serve = serve_one(socket, router.clone(), closing.clone());
                connections.spawn(serve);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn serve_one(socket: TcpStream, router: Router, closing: CancellationToken) {
    // With Nagle's algorithm the last part of a response may wait for an acknowledgement.
    let _ = socket.set_nodelay(true);
    let mut builder = http1::Builder::new();
    builder
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let service = TowerToHyperService::new(router);
    let mut connection = pin!(builder.serve_connection(rt::TokioIo::new(socket), service));
    // Errors of the connection have already been reported to the peer.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Forwards every call of an entry, recognized by the header `x-fw-attempt`, even if its path is
/// one of the side's own: a caller's `POST /leave` must not make the side leave.
async fn forward_entry_calls(
    State(state): State<HttpState>,
    req: Request,
    next: middleware::Next,
) -> Response {
    if req.headers().contains_key(plain::ATTEMPT) {
        return plain::forward(&state.core, &state.plain, req).await;
    }
    next.run(req).await
}

async fn ready(State(state): State<HttpState>) -> StatusCode {
    if state.core.is_leaving() || state.core.is_down() {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    StatusCode::OK
}

async fn metrics_text(State(state): State<HttpState>) -> String {
    state.metrics.render()
}

async fn leave(State(state): State<HttpState>) -> StatusCode {
    state.core.leave();
    StatusCode::ACCEPTED
}

async fn forward(State(state): State<HttpState>, req: Request) -> Response {
    plain::forward(&state.core, &state.plain, req).await
}
