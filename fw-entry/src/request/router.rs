//! Routing of paths to handlers.

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing;
use hyper::StatusCode;

use super::admin;
use super::chat;
use super::plain;
use super::program;
use crate::process::entry;

/// Routes of callers.
pub fn callers(entry: Arc<entry::Entry>) -> Router {
    let limit = entry.settings.callers.body_limit;
    Router::new()
        .route("/v1/chat/completions", routing::post(chat::post))
        .route("/v1/models", routing::get(program::models))
        .route(
            "/v1/programs/{id}",
            routing::get(program::get).delete(program::delete),
        )
        .route("/healthz", routing::get(healthz))
        .route("/readyz", routing::get(readyz))
        .fallback(plain::any)
        .layer(DefaultBodyLimit::max(limit))
        .with_state(entry)
}

/// Routes of operators.
pub fn admin(entry: Arc<entry::Entry>) -> Router {
    Router::new()
        .route("/healthz", routing::get(healthz))
        .route("/readyz", routing::get(readyz))
        .route("/metrics", routing::get(admin::metrics))
        .route("/admin/records", routing::any(admin::records))
        .route("/admin/records/{*path}", routing::any(admin::records))
        .route("/admin/inforce", routing::get(admin::in_force))
        .route("/admin/programs", routing::get(admin::programs))
        .route("/admin/explain/{program}", routing::get(admin::explain))
        .with_state(entry)
}

/// Liveness: the process answers.
async fn healthz() -> &'static str {
    "ok\n"
}

/// Readiness: the process has records and is not shutting down.
async fn readyz(State(entry): State<Arc<entry::Entry>>) -> Response {
    if entry.leaving.is_cancelled() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response();
    }
    if !entry.records.is_loaded() {
        return (StatusCode::SERVICE_UNAVAILABLE, "no records yet\n").into_response();
    }
    "ready\n".into_response()
}
