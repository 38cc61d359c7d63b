//! Stand-in for a model engine, running within the test process.
//!
//! It implements continuous batching, a prefix cache of limited size, OpenAI chunk streaming,
//! resumption and cancellation of streams, delayed load reports and cache events, and fault
//! injection. Each incarnation of an engine runs on a thread with its own runtime, so that a crash
//! drops all connections at once and refuses new ones, as a process crash does.

mod answer;
mod cache;
mod http;
mod incarnation;
pub(crate) mod process;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::FutureExt;
use fw_base::digest;
use fw_base::id;
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::recording;

pub use answer::text as answer_to;
pub use answer::tokens_of;

/// Behaviour of a stand-in engine without faults.
#[derive(Clone, Debug)]
pub struct Options {
    /// Duration of one step, which generates one token for each running request.
    pub step: Duration,
    /// Maximum number of concurrently running requests; further ones are queued in the engine.
    pub batch: usize,
    /// Additional step time per uncached prompt token that the step prefills.
    pub prefill: Duration,
    /// Maximum number of prompt tokens prefilled per step.
    pub chunk: id::Tokens,
    /// Capacity of the prefix cache, in tokens.
    pub cache: id::Tokens,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay before cache events are published.
    pub cache_lag: Duration,
    /// Every n-th cache event is dropped; 0 drops none.
    pub cache_gap: u64,
    /// Whether orders with a fencing number below the highest one received are refused.
    pub checks_fence: bool,
    /// Tokens per answer, unless the request sets a lower `max_tokens`.
    pub answer: u32,
    /// Delay before a crashed engine restarts; `None` disables automatic restarts.
    pub restart_after: Option<Duration>,
    /// Where runs, cache contents and crashes are recorded; `None` records nothing.
    pub recording: Option<recording::Recording>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            step: Duration::from_micros(2_600),
            batch: 16,
            prefill: Duration::from_micros(20),
            chunk: 2_048,
            cache: 400_000,
            load_lag: Duration::from_millis(100),
            cache_lag: Duration::from_millis(200),
            cache_gap: 0,
            checks_fence: true,
            answer: 24,
            restart_after: None,
            recording: None,
        }
    }
}

/// Injected faults and counters; both survive a crash.
#[derive(Debug, Default)]
struct Shared {
    opts: Options,
    frozen: AtomicBool,
    leaving: AtomicBool,
    loses_releases: AtomicBool,
    slow_percent: AtomicU32,
    fail_status: AtomicU16,
    stalled: AtomicU64,
    deliveries: AtomicU64,
    incarnations: AtomicU64,
    poison: Mutex<Option<String>>,
    counts: Mutex<Counts>,
    cached: Mutex<BTreeMap<id::ProgramId, id::Tokens>>,
    in_flight: AtomicU32,
    control: Arc<process::Control>,
}

/// Counters of an engine since it was spawned.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Started runs, by the digest of the complete prompt.
    pub runs: BTreeMap<String, u32>,
    /// Completed answers.
    pub finished: u32,
    /// Resumed streams.
    pub resumed: u32,
    /// Cancelled requests.
    pub cancelled: u32,
    /// Cache releases that freed an entry.
    pub released: u32,
    /// Orders refused because of a stale fencing number.
    pub refused_orders: u32,
    /// Accepted orders.
    pub orders: u32,
    /// Prefilled prompt tokens.
    pub prefilled: id::Tokens,
    /// Prompt tokens served from the cache.
    pub cached: id::Tokens,
    /// Maximum number of requests that ran in one step.
    pub peak_batch: usize,
}

/// A running stand-in engine. Dropping it stops the engine as a crash does.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    process: process::Process,
}

impl Engine {
    /// Starts an engine on a free port of the loopback interface.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub fn spawn(mut opts: Options) -> io::Result<Self> {
        opts.recording = opts.recording.map(recording::Recording::with_unique_name);
        let shared = Arc::new(Shared {
            control: process::Control::new(opts.restart_after),
            opts,
            slow_percent: AtomicU32::new(100),
            ..Shared::default()
        });
        let state = shared.clone();
        let serve = move |listener| incarnation::run(listener, state.clone()).boxed_local();
        let process = process::Process::spawn(shared.control.clone(), serve)?;
        Ok(Self { shared, process })
    }

    /// Listen address, which a restart keeps.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// Name under which the engine records its runs, if it records them.
    pub fn recorded_name(&self) -> Option<&id::UpstreamId> {
        let recording = self.shared.opts.recording.as_ref();
        recording.map(|recording| &recording.upstream)
    }

    /// Crashes the engine: drops all connections, refuses new ones and loses cache and streams.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Restarts a crashed engine on its previous port, with an empty cache.
    ///
    /// # Errors
    ///
    /// When the port cannot be rebound.
    pub fn restart(&self) -> io::Result<()> {
        self.process.restart()
    }

    /// Makes the engine crash on any prompt that contains `text`; `None` clears the fault.
    pub fn poison(&self, text: Option<&str>) {
        *self.shared.poison.lock() = text.map(str::to_owned);
    }

    /// Sets whether the engine is frozen: it accepts connections and requests but never answers.
    pub fn freeze(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Multiplies the duration of each step by `factor`.
    pub fn slow(&self, factor: f32) {
        let percent = (factor * 100.0) as u32;
        self.shared.slow_percent.store(percent, Ordering::SeqCst);
    }

    /// Stops sending on all currently open streams; their requests keep running and can be resumed
    /// over new connections.
    pub fn stall_streams(&self) {
        let open = self.shared.deliveries.load(Ordering::SeqCst);
        self.shared.stalled.store(open, Ordering::SeqCst);
    }

    /// Answers every chat request with this error status; `None` clears the fault.
    pub fn fail_with(&self, status: Option<u16>) {
        self.shared
            .fail_status
            .store(status.unwrap_or(0), Ordering::SeqCst);
    }

    /// Sets whether load reports state that the engine is leaving.
    pub fn leave(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Sets whether cache releases fail: they are not executed and are answered with status 503.
    pub fn lose_releases(&self, lost: bool) {
        self.shared.loses_releases.store(lost, Ordering::SeqCst);
    }

    /// Snapshot of the counters.
    pub fn counts(&self) -> Counts {
        self.shared.counts.lock().clone()
    }

    /// Number of started runs of the prompt that has this digest.
    pub fn runs(&self, digest: digest::Digest) -> u32 {
        let counts = self.shared.counts.lock();
        counts
            .runs
            .get(&String::from(digest))
            .copied()
            .unwrap_or_default()
    }

    /// Number of running and queued requests.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Cached tokens by program.
    pub fn cached(&self) -> BTreeMap<id::ProgramId, id::Tokens> {
        self.shared.cached.lock().clone()
    }
}

/// Generates a request id that is unique within one engine.
fn next_id(counter: &AtomicU64) -> SmolStr {
    let number = counter.fetch_add(1, Ordering::SeqCst);
    smol_str::format_smolstr!("engine-{number}")
}
