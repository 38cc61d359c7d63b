//! Handlers of operators' requests: records, revisions in force, programs, explanations, metrics.

use std::sync::Arc;

use axum::Json;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use fw_base::id;
use fw_record::admin;
use fw_record::write;
use fw_wire::peer;
use hyper::StatusCode;
use hyper::http;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::process::entry;
use crate::process::peers;

/// Handles `/admin/records` and all paths below it.
pub async fn records(
    State(entry): State<Arc<entry::Entry>>,
    method: http::Method,
    uri: http::Uri,
    body: Bytes,
) -> Response {
    let path = uri
        .path()
        .strip_prefix("/admin/records")
        .unwrap_or_default();
    let req = admin::Request {
        method: method.as_str(),
        path,
        query: uri.query().unwrap_or_default(),
        body: &body,
    };
    let answer = admin::handle(&entry.store, req, &write::Options::default()).await;
    if let Some(revision) = answer.body.get("revision").and_then(|value| value.as_i64()) {
        entry.records.observe_revision(revision);
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    (status, Json(answer.body)).into_response()
}

/// The query of [`in_force`].
#[derive(Debug, Deserialize)]
pub struct InForceQuery {
    revision: id::Revision,
}

/// The processes at which records of a revision are in force.
#[derive(Debug, Serialize)]
pub struct InForceReport {
    revision: id::Revision,
    /// Number of processes that use records of the revision or newer.
    in_force: usize,
    /// Number of processes: entries, and the sides that each of them watches, counted as one.
    of: usize,
    /// Names of those that use older records or did not answer.
    waiting: Vec<String>,
}

/// Reports at how many processes records of a revision are in force.
pub async fn in_force(
    State(entry): State<Arc<entry::Entry>>,
    Query(query): Query<InForceQuery>,
) -> Json<InForceReport> {
    let revision = query.revision;
    let others = peers::other_entries(&entry);
    let mut statuses = vec![(entry.id.to_string(), Some(entry.status()))];
    for (id, addr) in others {
        statuses.push((id.to_string(), peers::exchange_status(&entry, addr).await));
    }
    let mut report = InForceReport {
        revision,
        in_force: 0,
        of: 0,
        waiting: Vec::new(),
    };
    for (name, status) in statuses {
        let is_in_force = status
            .as_ref()
            .is_some_and(|status| status.revision >= revision);
        report.count(name.clone(), is_in_force);
        report.count_sides(&name, status.as_ref());
    }
    Json(report)
}

impl InForceReport {
    fn count(&mut self, name: String, is_in_force: bool) {
        self.of += 1;
        if is_in_force {
            self.in_force += 1;
        } else {
            self.waiting.push(name);
        }
    }

    /// Counts the sides that an entry watches as one process, which is up to date once all of them are.
    fn count_sides(&mut self, name: &str, status: Option<&peer::PeerStatus>) {
        let Some(status) = status.filter(|status| status.sides > 0) else {
            return;
        };
        let name = format!("{} sides of {name}", status.sides);
        self.count(name, status.sides_revision >= self.revision);
    }
}

/// Lists the programs kept here, with the status of this entry.
pub async fn programs(State(entry): State<Arc<entry::Entry>>) -> Json<serde_json::Value> {
    let mut programs = Vec::new();
    for kept in entry.keeper.shards() {
        let listed = entry.keeper.with_shard(kept.shard, |shard| {
            let described = shard.programs().map(|(name, program)| {
                json!({
                    "id": name,
                    "status": program.status().as_str(),
                    "turn": program.turn(),
                    "tokens": program.ledger().spent().tokens,
                    "team": program.team(),
                    "shard": kept.shard,
                })
            });
            described.collect::<Vec<_>>()
        });
        programs.extend(listed.map(|changed| changed.value).unwrap_or_default());
    }
    Json(json!({ "entry": entry.status(), "programs": programs }))
}

/// Returns the latest decisions about a program at this entry.
pub async fn explain(
    State(entry): State<Arc<entry::Entry>>,
    Path(program): Path<String>,
) -> Json<serde_json::Value> {
    let owner = entry.keeper.owner(entry.keeper.shard_of(&program));
    let keeper = match owner {
        fw_keep::keeper::Owner::Local => "this entry".to_owned(),
        fw_keep::keeper::Owner::Remote { entry, address } => format!("{entry} at {address}"),
        fw_keep::keeper::Owner::Vacant => "nobody now".to_owned(),
    };
    Json(json!({ "keeper": keeper, "events": entry.explain.events(&program) }))
}

/// Renders the metrics in Prometheus's text format.
pub async fn metrics(State(entry): State<Arc<entry::Entry>>) -> Response {
    match &entry.metrics {
        Some(handle) => handle.render().into_response(),
        None => (StatusCode::NOT_FOUND, "no metrics recorder is installed\n").into_response(),
    }
}
