//! State shared by all tasks and connections of a side.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_plan::queue;
use fw_record::holder;
use fw_record::set;
use fw_wire::side;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::at_most_once;
use super::attempts;
use super::cache_view;
use super::dispatch_queue;
use super::engine;
use super::fences;
use super::histories;
use super::meter;
use super::sessions;
use crate::errors;
use crate::options;

/// Lifecycle phase of a side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new work.
    Serving,
    /// It refuses new work and finishes the work in progress.
    Leaving,
}

/// The shared state.
#[derive(Debug)]
pub struct Core {
    /// Configuration of the side.
    pub opts: options::Options,
    /// Random number drawn at the start; identifies this run of the process.
    pub incarnation: u64,
    /// Fencing numbers by shard.
    pub fences: fences::Fences,
    /// Attempts in progress and finished.
    pub attempts: attempts::Attempts,
    /// Histories of recently used programs.
    pub histories: histories::Histories,
    /// Programs that hold KV cache in the engine.
    pub sessions: sessions::Sessions,
    /// The view of the engine's cache.
    pub cache_view: cache_view::CacheView,
    /// Load measurements of the engine.
    pub meter: meter::Meter,
    /// The queue in front of the engine.
    pub queue: dispatch_queue::DispatchQueue,
    /// Ids of at-most-once plain calls.
    pub at_most_once: at_most_once::CallIds,
    /// Concurrency slots for plain calls.
    pub plain_slots: Arc<Semaphore>,
    /// Client of the engine.
    pub engine: engine::Client,
    /// The records in force.
    pub records: holder::Holder,
    /// Wakes the task that dispatches from the queue.
    pub queue_changed: Notify,
    /// Wakes the task that sends cache releases to the engine.
    pub releases_changed: Notify,
    /// Runs in progress.
    pub runs: TaskTracker,
    /// Cancelled when the HTTP listener closes.
    pub closing: CancellationToken,
    /// Cancelled when the side is dropped: runs stop without reporting an end, as in a crash.
    pub aborted: CancellationToken,
    phase: watch::Sender<Phase>,
    engine_leaving: AtomicBool,
    down: AtomicBool,
    crashes: AtomicU64,
    /// The highest revision whose record set could not be parsed, so that it is logged only once.
    last_unreadable_set: Mutex<i64>,
}

impl Core {
    /// Creates the state of a newly started side.
    pub fn new(opts: options::Options) -> Self {
        let cfg = &opts.settings;
        let queue_options = dispatch_queue::Options {
            queue: queue::Options {
                capacity: cfg.queue.max_length,
                ..queue::Options::default()
            },
            batch: cfg.engine.batch,
            window: cfg.queue.window,
        };
        let backoff = sessions::Backoff {
            initial: opts.release_backoff,
            max: opts.release_backoff_max,
        };
        Self {
            incarnation: rand::random(),
            fences: fences::Fences::default(),
            attempts: attempts::Attempts::default(),
            histories: histories::Histories::new(cfg.sessions.history_memory),
            sessions: sessions::Sessions::new(backoff),
            cache_view: cache_view::CacheView::default(),
            meter: meter::Meter::default(),
            queue: dispatch_queue::DispatchQueue::new(queue_options),
            at_most_once: at_most_once::CallIds::new(
                opts.at_most_once_retention,
                opts.max_at_most_once,
            ),
            plain_slots: Arc::new(Semaphore::new(opts.plain_concurrency)),
            engine: engine::Client::new(&cfg.engine),
            records: holder::Holder::default(),
            queue_changed: Notify::new(),
            releases_changed: Notify::new(),
            runs: TaskTracker::new(),
            closing: CancellationToken::new(),
            aborted: CancellationToken::new(),
            phase: watch::Sender::new(Phase::Serving),
            engine_leaving: AtomicBool::new(false),
            down: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            last_unreadable_set: Mutex::new(0),
            opts,
        }
    }

    /// Whether new work is refused because the side or its upstream is leaving.
    pub fn is_leaving(&self) -> bool {
        *self.phase.borrow() == Phase::Leaving || self.engine_leaving.load(Ordering::Acquire)
    }

    /// Whether the upstream counts as down.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::Acquire)
    }

    /// Stops accepting new work.
    pub fn leave(&self) {
        if self.phase.send_replace(Phase::Leaving) == Phase::Serving {
            tracing::info!("leaving: new work is refused");
        }
    }

    /// Records whether the engine reports that it is leaving.
    pub fn set_engine_leaving(&self, leaving: bool) {
        if self.engine_leaving.swap(leaving, Ordering::AcqRel) != leaving {
            tracing::info!(leaves = leaving, "the engine changed whether it is leaving");
        }
    }

    /// Marks the upstream as reachable.
    pub fn mark_up(&self) {
        if self.down.swap(false, Ordering::AcqRel) {
            tracing::info!("the upstream answers again");
            self.queue_changed.notify_one();
        }
    }

    /// Marks the upstream as down and ends every attempt in progress, with an error that states
    /// whether it may have run. The side does not retry any, since the request itself may have
    /// caused the crash.
    pub fn mark_crashed(&self, why: &str) {
        if !self.down.swap(true, Ordering::AcqRel) {
            tracing::warn!(why, "the upstream is down");
            self.reset_engine_state();
        }
        self.abort_all(why);
    }

    /// Handles an engine that is reachable but has restarted, so that its cache and runs are lost.
    pub fn handle_restart(&self) {
        // If the crash was detected, attempts were ended and counted then. This handles a restart
        // that was too fast to be noticed as a crash.
        if !self.is_down() {
            tracing::warn!("the engine was restarted");
            self.reset_engine_state();
            self.abort_all("it was restarted");
        }
    }

    /// Number of detected crashes and restarts of the upstream.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(Ordering::Acquire)
    }

    fn reset_engine_state(&self) {
        metrics::counter!("fw_side_upstream_crashes_total").increment(1);
        self.crashes.fetch_add(1, Ordering::AcqRel);
        self.cache_view.reset();
        self.sessions.clear_idle();
    }

    fn abort_all(&self, why: &str) {
        for attempt in self.attempts.unfinished() {
            let err = if self.queue.remove(attempt.start.attempt) {
                errors::counted(
                    error::Kind::NoUpstream,
                    format!("the engine is down ({why}); the turn was not sent to it"),
                )
            } else {
                errors::counted(
                    error::Kind::UpstreamCrashed,
                    format!("the engine crashed during the turn: {why}"),
                )
            };
            attempt.abort(err);
        }
    }

    /// Cancels an attempt that has not ended.
    pub fn cancel(&self, attempt: &attempts::Attempt, why: &str) {
        self.end(attempt, error::Kind::Cancelled, why);
    }

    /// Ends an attempt with an error and removes it from the queue.
    pub fn end(&self, attempt: &attempts::Attempt, kind: error::Kind, why: &str) {
        self.queue.remove(attempt.start.attempt);
        attempt.abort(errors::counted(kind, why));
        self.queue_changed.notify_one();
    }

    /// Returns an error while the upstream cannot accept new work.
    ///
    /// # Errors
    ///
    /// `UpstreamLeaving` or `NoUpstream`.
    pub fn check_available(&self) -> Result<(), error::Error> {
        if self.is_leaving() {
            let why = "the upstream is leaving; use another";
            return Err(errors::counted(error::Kind::UpstreamLeaving, why));
        }
        if self.is_down() {
            let retry = self.opts.settings.engine.load_poll;
            let why = "the upstream is not responding; use another";
            return Err(errors::counted(error::Kind::NoUpstream, why).with_retry_after(retry));
        }
        Ok(())
    }

    /// Applies a newer record set; an older or unreadable one is ignored.
    pub fn update_records(&self, records: &side::Records) {
        if records.revision <= self.records.revision() {
            return;
        }
        match set::Set::from_json(&records.set) {
            Ok(set) => {
                self.records.offer(set);
            }
            Err(err) => self.log_unreadable_set(records.revision, &err),
        }
    }

    fn log_unreadable_set(&self, revision: i64, err: &serde_json::Error) {
        metrics::counter!("fw_side_records_refused_total").increment(1);
        let mut last = self.last_unreadable_set.lock();
        if *last < revision {
            *last = revision;
            tracing::warn!(revision, %err, "a record set cannot be parsed");
        }
    }

    /// The load reported in heartbeats.
    pub fn load(&self, now: Instant) -> side::Load {
        let occupancy = self.queue.occupancy();
        side::Load {
            queued: occupancy.queued,
            running: occupancy.running,
            prefill: occupancy.prefill,
            delay: occupancy.delay,
            ..self.meter.load(now)
        }
    }

    /// Whether no work is in progress and every answer has been delivered to a reader.
    pub fn is_drained(&self) -> bool {
        let plain_calls = self.opts.plain_concurrency - self.plain_slots.available_permits();
        self.attempts.unread_count() == 0 && self.runs.is_empty() && plain_calls == 0
    }

    /// Waits until [`Core::is_drained`], for at most `within`. Returns false on timeout.
    pub async fn wait_drained(&self, within: Duration) -> bool {
        const CHECK_INTERVAL: Duration = Duration::from_millis(10);
        let deadline = Instant::now() + within;
        while !self.is_drained() {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        true
    }
}
