//! Stand-in for the platform's instance list, with a configurable propagation lag.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::extract::State as Shared;
use axum::routing::get;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::task::JoinSet;

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance is running.
    Live,
    /// The instance will be stopped soon.
    Leaving,
}

/// One entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Instance id.
    pub id: SmolStr,
    /// Service that the instance runs.
    pub service: SmolStr,
    /// Place of the instance.
    pub place: SmolStr,
    /// `ip:port` on which its side accepts calls from entries.
    pub side: SmolStr,
    /// `ip:port` on which its side accepts plain HTTP calls.
    pub http: SmolStr,
    /// State according to the platform.
    pub state: State,
}

#[derive(Debug, Default)]
struct Timeline {
    lag: Duration,
    /// Versions of the list that can still be served, with the time of the change; never empty
    /// after the first change.
    lists: VecDeque<(Instant, Vec<Instance>)>,
}

/// Handle to a running instance list, which stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Instances {
    running: Arc<Running>,
}

#[derive(Debug)]
struct Running {
    addr: SocketAddr,
    timeline: Arc<Mutex<Timeline>>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

impl Instances {
    /// Starts with an empty list on a free loopback port.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start() -> std::io::Result<Self> {
        let timeline = Arc::new(Mutex::new(Timeline::default()));
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let app = Router::new()
            .route("/instances", get(list))
            .with_state(Arc::clone(&timeline));
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            // `serve` returns only when the task is aborted.
            let _ = axum::serve(listener, app).await;
        });
        let running = Arc::new(Running {
            addr,
            timeline,
            _tasks: tasks,
        });
        Ok(Self { running })
    }

    /// Listen address, as `ip:port`.
    pub fn endpoint(&self) -> String {
        self.running.addr.to_string()
    }

    /// Sets the delay until a change appears in the served list.
    pub fn set_lag(&self, lag: Duration) {
        self.running.timeline.lock().lag = lag;
    }

    /// Adds an instance, or replaces the one with the same id.
    pub fn put(&self, instance: Instance) {
        self.change(|list| {
            list.retain(|listed| listed.id != instance.id);
            list.push(instance);
        });
    }

    /// Marks an instance as leaving.
    pub fn leave(&self, id: &str) {
        self.change(|list| {
            for instance in list.iter_mut().filter(|listed| listed.id == id) {
                instance.state = State::Leaving;
            }
        });
    }

    /// Removes an instance from the list.
    pub fn remove(&self, id: &str) {
        self.change(|list| list.retain(|listed| listed.id != id));
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Instance>)) {
        let mut timeline = self.running.timeline.lock();
        let newest = timeline.lists.back();
        let mut list = newest.map_or_else(Vec::new, |(_, list)| list.clone());
        change(&mut list);
        timeline.lists.push_back((Instant::now(), list));
    }
}

impl Timeline {
    /// The list as of `lag` ago.
    fn lagged_list(&mut self, now: Instant) -> Vec<Instance> {
        let lag = self.lag;
        let is_visible = |at: &Instant| *at + lag <= now;
        while self.lists.get(1).is_some_and(|(at, _)| is_visible(at)) {
            self.lists.pop_front();
        }
        let oldest = self.lists.front().filter(|(at, _)| is_visible(at));
        oldest.map_or_else(Vec::new, |(_, list)| list.clone())
    }
}

async fn list(Shared(timeline): Shared<Arc<Mutex<Timeline>>>) -> Json<Vec<Instance>> {
    Json(timeline.lock().lagged_list(Instant::now()))
}
