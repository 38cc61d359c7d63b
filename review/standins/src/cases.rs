//! The scenes.

mod chain_age;
mod large_turns;
mod lost_in_outage;
mod replaced;
mod rolled;
mod taken_up;

use serde_json::json;

use crate::record::Record;
use crate::{Failure, Outcome};

/// Runs the scene `name`.
pub async fn run(name: &str, trouble: bool, record: &Record) -> Result<Outcome, Failure> {
    match name {
        "large-turns" => large_turns::run(trouble, record).await,
        "chain-age" => chain_age::run(trouble, record).await,
        "lost-in-outage" => lost_in_outage::run(trouble, record).await,
        "replaced" => replaced::run(trouble, record).await,
        "rolled" => rolled::run(trouble, record).await,
        "taken-up" => taken_up::run(trouble, record).await,
        _ => Err(format!("there is no scene {name}").into()),
    }
}

/// A configuration with one stream route at `/turns/`, whose turns are kept for `retention_s`.
fn config(retention_s: f64, resumable: bool) -> serde_json::Value {
    json!({
        "version": 7,
        "routes": [{
            "name": "turns", "host": crate::client::HOST, "path_prefix": "/turns/", "kind": "stream",
            "timeout_ms": 5000, "target_latency_ms": 500, "target_gap_ms": 500, "priority": 0, "service": "model",
            "max_attempts": 1, "sticky": true, "resumable": resumable,
            "retains_context": true, "retention_s": retention_s,
        }],
        "services": [{
            "name": "model", "max_conns": 150, "health_path": "/healthz",
            "engine": { "slots": 12, "kv_capacity": 169662, "tokens_per_event": 11 },
        }],
        "limits": { "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000 },
    })
}
