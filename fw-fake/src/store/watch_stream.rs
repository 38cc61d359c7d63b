//! HTTP/JSON interface of the stand-in: watches.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use futures_util::Stream;
use futures_util::stream;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use super::Core;
use super::faults;
use super::gateway;
use super::mvcc;

/// Maximum number of revisions in one message to a watch that is catching up, as in etcd.
const MAX_REVISIONS_PER_MESSAGE: usize = 1_000;

/// One open watch.
struct WatchStream {
    endpoint: gateway::Endpoint,
    span: mvcc::Span,
    /// First revision not yet delivered.
    next: i64,
    revision: watch::Receiver<i64>,
    epoch: u64,
    stage: Stage,
    _open: OpenWatch,
}

enum Stage {
    New,
    Live,
    Ended,
}

/// Counts a watch as open until dropped.
struct OpenWatch(Arc<Core>);

impl OpenWatch {
    fn new(core: Arc<Core>) -> Self {
        core.counters.open_watches.fetch_add(1, Ordering::Relaxed);
        Self(core)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.counters.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) async fn open(
    State(endpoint): State<gateway::Endpoint>,
    Json(req): Json<Value>,
) -> Result<Response, gateway::ErrorReply> {
    let counters = &endpoint.core.counters;
    counters.watches.fetch_add(1, Ordering::Relaxed);
    let open_watch = OpenWatch::new(Arc::clone(&endpoint.core));
    endpoint.admit().await?;
    let hangs = endpoint.port().lock().faults.hang_watches;
    if hangs {
        return std::future::pending().await;
    }
    let create = &req["create_request"];
    let from = gateway::int(create, "start_revision")?;
    let now = endpoint.core.state.lock().revision();
    let epoch = endpoint.port().lock().epoch;
    let watch_stream = WatchStream {
        span: gateway::parse_span(create)?,
        next: if from == 0 { now + 1 } else { from },
        revision: endpoint.core.revision.subscribe(),
        epoch,
        stage: Stage::New,
        _open: open_watch,
        endpoint,
    };
    let lines = watch_stream.into_lines();
    Ok(Response::new(Body::from_stream(lines)))
}

impl WatchStream {
    fn into_lines(self) -> impl Stream<Item = Result<String, Infallible>> {
        stream::unfold(self, |mut watch_stream| async {
            let line = watch_stream.next_message().await?;
            Some((Ok(format!("{line}\n")), watch_stream))
        })
    }

    /// The next message, or `None` when the watch has ended.
    async fn next_message(&mut self) -> Option<Value> {
        match self.stage {
            Stage::Ended => return None,
            Stage::New => {
                self.stage = Stage::Live;
                return Some(self.message(json!({ "created": true })));
            }
            // Yields, so that the previous message is sent before changes are read and encoded.
            Stage::Live => tokio::task::yield_now().await,
        }
        loop {
            self.apply_faults().await?;
            self.revision.mark_unchanged();
            if let Some(message) = self.next_changes() {
                return Some(message);
            }
            let progress = self.endpoint.core.opts.progress;
            let changed = tokio::time::timeout(progress, self.revision.changed()).await;
            if changed.is_ok() {
                continue;
            }
            self.apply_faults().await?;
            if let Some(message) = self.next_changes() {
                return Some(message);
            }
            if !self.endpoint.port().lock().faults.no_progress {
                return Some(self.message(json!({})));
            }
        }
    }

    /// Applies the faults of the port: `None` ends the watch, and a stalled watch never returns.
    async fn apply_faults(&self) -> Option<()> {
        let (outage, epoch) = {
            let port = self.endpoint.port().lock();
            (port.faults.outage, port.epoch)
        };
        if epoch != self.epoch || outage == Some(faults::Outage::Hang) {
            return std::future::pending().await;
        }
        outage.is_none().then_some(())
    }

    fn next_changes(&mut self) -> Option<Value> {
        let state = self.endpoint.core.state.lock();
        let changes = state.first_changes(&self.span, self.next, MAX_REVISIONS_PER_MESSAGE);
        drop(state);
        let changes = match changes {
            Ok(changes) => changes,
            Err(mvcc::Refusal::Compacted(oldest)) => {
                self.stage = Stage::Ended;
                let compacted = json!({
                    "canceled": true,
                    "compact_revision": oldest.to_string(),
                });
                return Some(self.message(compacted));
            }
            Err(_) => Vec::new(),
        };
        let newest = changes.last()?.mod_revision;
        self.next = newest + 1;
        let events: Vec<_> = changes.iter().map(event_json).collect();
        Some(self.message(json!({ "events": events })))
    }

    fn message(&self, mut result: Value) -> Value {
        let revision = self.endpoint.core.state.lock().revision();
        result["header"] = gateway::header(revision);
        result["watch_id"] = "0".into();
        json!({ "result": result })
    }
}

fn event_json(kv: &mvcc::Kv) -> Value {
    if kv.is_deletion() {
        json!({ "type": "DELETE", "kv": gateway::kv_json(kv) })
    } else {
        json!({ "kv": gateway::kv_json(kv) })
    }
}
