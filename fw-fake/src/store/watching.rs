//! The HTTP/JSON face of the stand-in: watches.

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

/// Revisions told of in one message to a watch that is behind, as etcd does it.
const MESSAGE_REVISIONS: usize = 1_000;

/// One open watch.
struct Watching {
    view: gateway::View,
    span: mvcc::Span,
    /// First revision not yet delivered.
    next: i64,
    revision: watch::Receiver<i64>,
    epoch: u64,
    stage: Stage,
    _waiting: Waiting,
}

enum Stage {
    New,
    Live,
    Over,
}

/// Counts a watch as waiting until it is dropped.
struct Waiting(Arc<Core>);

impl Waiting {
    fn new(core: Arc<Core>) -> Self {
        core.counters.open_watches.fetch_add(1, Ordering::Relaxed);
        Self(core)
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.counters.open_watches.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) async fn open(
    State(view): State<gateway::View>,
    Json(req): Json<Value>,
) -> Result<Response, gateway::Fault> {
    let counters = &view.core.counters;
    counters.watches.fetch_add(1, Ordering::Relaxed);
    let waiting = Waiting::new(Arc::clone(&view.core));
    view.admit().await?;
    let hangs = view.port().lock().faults.hang_watches;
    if hangs {
        return std::future::pending().await;
    }
    let create = &req["create_request"];
    let from = gateway::int(create, "start_revision")?;
    let now = view.core.state.lock().revision();
    let epoch = view.port().lock().epoch;
    let watching = Watching {
        span: gateway::parse_span(create)?,
        next: if from == 0 { now + 1 } else { from },
        revision: view.core.revision.subscribe(),
        epoch,
        stage: Stage::New,
        _waiting: waiting,
        view,
    };
    let lines = watching.into_lines();
    Ok(Response::new(Body::from_stream(lines)))
}

impl Watching {
    fn into_lines(self) -> impl Stream<Item = Result<String, Infallible>> {
        stream::unfold(self, |mut watching| async {
            let line = watching.line().await?;
            Some((Ok(format!("{line}\n")), watching))
        })
    }

    /// The next message; `None` at the end.
    async fn line(&mut self) -> Option<Value> {
        match self.stage {
            Stage::Over => return None,
            Stage::New => {
                self.stage = Stage::Live;
                return Some(self.message(json!({ "created": true })));
            }
            // What was told so far is sent before the history is read and encoded.
            Stage::Live => tokio::task::yield_now().await,
        }
        loop {
            self.meet_faults().await?;
            self.revision.mark_unchanged();
            if let Some(message) = self.changes() {
                return Some(message);
            }
            let progress = self.view.core.opts.progress;
            let woken = tokio::time::timeout(progress, self.revision.changed()).await;
            if woken.is_ok() {
                continue;
            }
            self.meet_faults().await?;
            if let Some(message) = self.changes() {
                return Some(message);
            }
            if !self.view.port().lock().faults.no_progress {
                return Some(self.message(json!({})));
            }
        }
    }

    /// Ends the watch or silences it for good, as the faults of its port say.
    async fn meet_faults(&self) -> Option<()> {
        let (outage, epoch) = {
            let port = self.view.port().lock();
            (port.faults.outage, port.epoch)
        };
        if epoch != self.epoch || outage == Some(faults::Outage::Hang) {
            return std::future::pending().await;
        }
        outage.is_none().then_some(())
    }

    fn changes(&mut self) -> Option<Value> {
        let state = self.view.core.state.lock();
        let changes = state.changes_limited(&self.span, self.next, MESSAGE_REVISIONS);
        drop(state);
        let changes = match changes {
            Ok(changes) => changes,
            Err(mvcc::Refusal::Compacted(oldest)) => {
                self.stage = Stage::Over;
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
        let revision = self.view.core.state.lock().revision();
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
