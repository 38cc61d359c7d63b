//! A stand-in of the platform's instance list, which lags behind the truth.

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

/// What the platform believes of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It runs.
    Live,
    /// It will be stopped soon.
    Leaving,
}

/// One instance, as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub id: SmolStr,
    /// The service it runs.
    pub service: SmolStr,
    /// Where it runs.
    pub place: SmolStr,
    /// `ip:port` at which its side takes calls from entries.
    pub side: SmolStr,
    /// `ip:port` at which its side takes plain HTTP calls.
    pub http: SmolStr,
    /// What the platform believes of it.
    pub state: State,
}

#[derive(Debug, Default)]
struct Timeline {
    lag: Duration,
    /// Every list that still matters, with the time it became true; never empty after a change.
    lists: VecDeque<(Instant, Vec<Instance>)>,
}

/// A running instance list. Clones share it; it stops when the last one is dropped.
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
    /// Starts with an empty list on a loopback port that the system chooses.
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
            // Serving ends only with the task.
            let _ = axum::serve(listener, app).await;
        });
        let running = Arc::new(Running {
            addr,
            timeline,
            _tasks: tasks,
        });
        Ok(Self { running })
    }

    /// Its address, as `ip:port`.
    pub fn endpoint(&self) -> String {
        self.running.addr.to_string()
    }

    /// Sets how far the list lags behind the truth.
    pub fn set_lag(&self, lag: Duration) {
        self.running.timeline.lock().lag = lag;
    }

    /// Adds an instance, or replaces the one of the same id.
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

    /// Takes an instance off the list.
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
    /// The list as it was `lag` ago.
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
