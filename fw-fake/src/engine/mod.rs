//! Stand-in of a model engine, in the test's own process.
//!
//! It batches continuously, caches prompt prefixes in limited memory, streams OpenAI chunks,
//! resumes and cancels streams, reports load and cache changes late, and fails on demand. Each
//! life of an engine runs on a thread with a runtime of its own, so that a crash drops every
//! connection at once and refuses new ones, as the death of a process does.

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

/// How a stand-in engine behaves while nothing is wrong.
#[derive(Clone, Debug)]
pub struct Options {
    /// Time of one step, in which each running request gains one token.
    pub step: Duration,
    /// Most requests that run together; the others wait inside the engine.
    pub batch: usize,
    /// Added to a step for each uncached prompt token that it takes in.
    pub prefill: Duration,
    /// Most prompt tokens taken in by one step.
    pub chunk: id::Tokens,
    /// Tokens that the prefix cache can hold.
    pub cache: id::Tokens,
    /// How old the load report is.
    pub load_lag: Duration,
    /// How late cache events are published.
    pub cache_lag: Duration,
    /// Each n-th cache event is never published; 0 publishes all.
    pub cache_gap: u64,
    /// Whether orders with a fencing number below one seen before are refused.
    pub checks_fence: bool,
    /// Tokens of an answer whose request sets no lower bound.
    pub answer: u32,
    /// How long a crashed engine stays down; it stays down for good if this is absent.
    pub restart_after: Option<Duration>,
    /// Where runs, memory and crashes are noted; nowhere if absent.
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

/// Faults in force, and what the engine counted; both outlive a crash.
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

/// What an engine counted since it was spawned.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    /// Runs begun, by the digest of the whole prompt.
    pub runs: BTreeMap<String, u32>,
    /// Answers given to their end.
    pub finished: u32,
    /// Streams resumed.
    pub resumed: u32,
    /// Requests cancelled.
    pub cancelled: u32,
    /// Cache releases carried out.
    pub released: u32,
    /// Orders refused for an old fencing number.
    pub refused_orders: u32,
    /// Orders accepted.
    pub orders: u32,
    /// Prompt tokens taken in.
    pub prefilled: id::Tokens,
    /// Prompt tokens found in the cache.
    pub cached: id::Tokens,
    /// Most requests that ran in one step.
    pub peak_batch: usize,
}

/// A running stand-in engine; dropped, it crashes for good.
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

    /// Where the engine listens, also after a restart.
    pub fn addr(&self) -> SocketAddr {
        self.process.addr()
    }

    /// The engine's name in the record of a run, if there is one.
    pub fn recorded_name(&self) -> Option<&id::UpstreamId> {
        let recording = self.shared.opts.recording.as_ref();
        recording.map(|recording| &recording.upstream)
    }

    /// Drops all connections and refuses new ones. The cache and all streams are lost.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Starts a crashed engine again on its old port, with an empty cache.
    ///
    /// # Errors
    ///
    /// When the port cannot be bound again.
    pub fn restart(&self) -> io::Result<()> {
        self.process.restart()
    }

    /// Makes the engine crash when a prompt holds `text`; `None` ends that.
    pub fn poison(&self, text: Option<&str>) {
        *self.shared.poison.lock() = text.map(str::to_owned);
    }

    /// Whether the engine accepts connections and requests but never answers.
    pub fn freeze(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Makes each step take `factor` times its usual time.
    pub fn slow(&self, factor: f32) {
        let percent = (factor * 100.0) as u32;
        self.shared.slow_percent.store(percent, Ordering::SeqCst);
    }

    /// Stops sending on all streams that are open now; the requests run on and can be resumed
    /// over new connections.
    pub fn stall_streams(&self) {
        let open = self.shared.deliveries.load(Ordering::SeqCst);
        self.shared.stalled.store(open, Ordering::SeqCst);
    }

    /// Answers each chat request with an error status; `None` ends that.
    pub fn fail_with(&self, status: Option<u16>) {
        self.shared
            .fail_status
            .store(status.unwrap_or(0), Ordering::SeqCst);
    }

    /// Whether the load report says that the engine is leaving.
    pub fn leave(&self, leaving: bool) {
        self.shared.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Whether cache releases are lost: not carried out, and their connection closed unanswered.
    pub fn lose_releases(&self, lost: bool) {
        self.shared.loses_releases.store(lost, Ordering::SeqCst);
    }

    /// What was counted so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts.lock().clone()
    }

    /// How often the prompt with this digest began to run.
    pub fn runs(&self, digest: digest::Digest) -> u32 {
        let counts = self.shared.counts.lock();
        counts
            .runs
            .get(&String::from(digest))
            .copied()
            .unwrap_or_default()
    }

    /// Requests inside the engine, running and waiting.
    pub fn in_flight(&self) -> u32 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Cached tokens of each program.
    pub fn cached(&self) -> BTreeMap<id::ProgramId, id::Tokens> {
        self.shared.cached.lock().clone()
    }
}

/// A name made unique within one engine by a counter.
fn next_id(counter: &AtomicU64) -> SmolStr {
    let number = counter.fetch_add(1, Ordering::SeqCst);
    smol_str::format_smolstr!("engine-{number}")
}
