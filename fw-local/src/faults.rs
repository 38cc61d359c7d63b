//! Fault injection: faults drawn from a seed, injected into a running system and healed.

use std::sync::Arc;
use std::time::Duration;

use fw_check::event::Event;
use fw_check::recorder;
use fw_fake::plain;
use fw_fake::store;
use rand::RngExt;
use rand_pcg::Pcg64;
use tokio::task::JoinSet;

use crate::caller;
use crate::history::endpoints;
use crate::system;

/// Most faults in a schedule.
const MAX_FAULTS: usize = 3;
/// Range of the times at which faults begin, in milliseconds.
const START_MS: std::ops::Range<u64> = 300..2_500;
/// Range of the durations of faults, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 300..2_500;
/// Delay added to each call of a slow store.
const STORE_DELAY: Duration = Duration::from_millis(150);
/// Factor by which a slow engine is slower.
const ENGINE_FACTOR: f32 = 8.0;
/// Age of a lagging instance list.
const LIST_LAG: Duration = Duration::from_secs(2);
/// Interval at which a new entry's readiness is polled.
const READY_POLL: Duration = Duration::from_millis(50);
/// Most polls of a new entry's readiness.
const MAX_READY_POLLS: usize = 400;

/// A kind of fault. Numbers are indices into the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An entry crashes; another one is started later.
    KillEntry(usize),
    /// An entry is stopped gracefully; another one is started later.
    StopEntry(usize),
    /// The side of an engine crashes, and starts again at other addresses.
    KillSide(usize),
    /// An engine crashes and starts again.
    CrashEngine(usize),
    /// An engine accepts requests and makes no progress.
    FreezeEngine(usize),
    /// The open streams of an engine stop sending.
    SilenceEngine(usize),
    /// An engine is slow.
    SlowEngine(usize),
    /// An engine loses the requests to release memory.
    LoseReleases(usize),
    /// An engine leaves for good.
    LeaveEngine(usize),
    /// The store is unavailable to one entry or to all.
    StoreAway(Option<usize>, store::Outage),
    /// The store loses every answer to a change with a probability of one half.
    LoseAnswers,
    /// The store is slow.
    SlowStore,
    /// A plain service crashes on each request, before or after running it.
    CrashTool(usize, plain::Fault),
    /// The instance list is out of date.
    LagList,
}

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timed {
    /// Time at which it is injected.
    pub at: Duration,
    /// Time from injection until it is healed.
    pub lasts: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Sizes of the system that faults are drawn for.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of entries at the start.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub tools: usize,
}

/// Draws one to three faults.
pub fn draw(rng: &mut Pcg64, opts: &Options) -> Vec<Timed> {
    let count = rng.random_range(1..=MAX_FAULTS);
    let timed = |_| Timed {
        at: Duration::from_millis(rng.random_range(START_MS)),
        lasts: Duration::from_millis(rng.random_range(DURATION_MS)),
        fault: draw_one(rng, opts),
    };
    let mut drawn: Vec<_> = (0..count).map(timed).collect();
    // At most one engine leaves, so that the others can take over its work.
    let mut leaves = false;
    drawn.retain(|timed| match timed.fault {
        Fault::LeaveEngine(_) => !std::mem::replace(&mut leaves, true),
        _ => true,
    });
    drawn.sort_by_key(|timed| timed.at);
    drawn
}

fn draw_one(rng: &mut Pcg64, opts: &Options) -> Fault {
    let entry = rng.random_range(0..opts.entries);
    let engine = rng.random_range(0..opts.engines);
    let tool = rng.random_range(0..opts.tools);
    let port = rng.random_bool(0.5).then_some(entry);
    match rng.random_range(0..17) {
        0 | 1 => Fault::KillEntry(entry),
        2 => Fault::StopEntry(entry),
        3 | 4 => Fault::KillSide(engine),
        5 => Fault::CrashEngine(engine),
        6 => Fault::FreezeEngine(engine),
        7 => Fault::SilenceEngine(engine),
        8 => Fault::SlowEngine(engine),
        9 => Fault::LoseReleases(engine),
        10 => Fault::LeaveEngine(engine),
        11 => Fault::StoreAway(port, store::Outage::Refuse),
        12 => Fault::StoreAway(port, store::Outage::Hang),
        13 => Fault::LoseAnswers,
        14 => Fault::SlowStore,
        15 => match rng.random_bool(0.5) {
            true => Fault::CrashTool(tool, plain::Fault::CrashBefore),
            false => Fault::CrashTool(tool, plain::Fault::CrashAfter),
        },
        _ => Fault::LagList,
    }
}

/// Injects faults into one system.
pub struct Driver {
    /// The system.
    pub system: system::System,
    recorder: recorder::Recorder,
    endpoints: Arc<endpoints::Endpoints>,
    /// Tasks of entries that are stopping or not ready yet.
    tasks: JoinSet<()>,
}

enum Step {
    Inject,
    Heal,
}

impl Driver {
    /// Creates a driver of `system` and opens its entries to callers.
    pub fn new(
        system: system::System,
        recorder: recorder::Recorder,
        endpoints: Arc<endpoints::Endpoints>,
    ) -> Self {
        for (index, entry) in system.entries.iter().enumerate() {
            if let Some(running) = entry {
                endpoints.open(endpoints::Endpoint::new(index, running));
            }
        }
        Self {
            system,
            recorder,
            endpoints,
            tasks: JoinSet::new(),
        }
    }

    /// Injects each fault at its time, counted from now, and heals it.
    pub async fn run(&mut self, faults: &[Timed]) {
        let begun = tokio::time::Instant::now();
        let begins = faults.iter().map(|f| (f.at, Step::Inject, f.fault));
        let heals = faults.iter().map(|f| (f.at + f.lasts, Step::Heal, f.fault));
        let mut steps: Vec<_> = begins.chain(heals).collect();
        steps.sort_by_key(|(at, ..)| *at);
        for (at, step, fault) in steps {
            tokio::time::sleep_until(begun + at).await;
            match step {
                Step::Inject => self.inject(fault),
                Step::Heal => self.heal(fault).await,
            }
        }
    }

    /// Waits until stopping entries have stopped and new ones are open.
    pub async fn settle(&mut self) {
        while self.tasks.join_next().await.is_some() {}
    }

    /// Kills all entries of the system.
    pub fn end(mut self) {
        for entry in 0..self.system.entries.len() {
            self.endpoints.close(entry);
            self.system.kill_entry(entry);
        }
    }

    fn inject(&mut self, fault: Fault) {
        let engines = &self.system.engines;
        let store = &self.system.store;
        match fault {
            Fault::KillEntry(entry) => self.kill_entry(entry),
            Fault::StopEntry(entry) => self.stop_entry(entry),
            Fault::KillSide(engine) => {
                let process = smol_str::format_smolstr!("side-{engine}");
                self.recorder.record(Event::Crashed { process });
                self.system.kill_side(engine);
            }
            Fault::CrashEngine(engine) => engines[engine].upstream.crash(),
            Fault::FreezeEngine(engine) => engines[engine].upstream.freeze(true),
            Fault::SilenceEngine(engine) => engines[engine].upstream.stall_streams(),
            Fault::SlowEngine(engine) => engines[engine].upstream.slow(ENGINE_FACTOR),
            Fault::LoseReleases(engine) => engines[engine].upstream.lose_releases(true),
            Fault::LeaveEngine(engine) => self.leave_engine(engine),
            Fault::StoreAway(None, outage) => store.set_outage(Some(outage)),
            Fault::StoreAway(Some(port), outage) => {
                store.faults(port, |faults| faults.outage = Some(outage));
            }
            Fault::LoseAnswers => store.faults_everywhere(|faults| faults.lose_probability = 0.5),
            Fault::SlowStore => store.faults_everywhere(|faults| faults.delay = STORE_DELAY),
            Fault::CrashTool(tool, fault) => self.system.tools[tool].upstream.fault(fault),
            Fault::LagList => self.system.instances.set_lag(LIST_LAG),
        }
    }

    async fn heal(&mut self, fault: Fault) {
        let engines = &self.system.engines;
        let store = &self.system.store;
        match fault {
            Fault::KillEntry(_) | Fault::StopEntry(_) => self.add_entry().await,
            Fault::KillSide(engine) => {
                let started = self.system.restart_side(engine).await;
                started.expect("a port on loopback is free");
            }
            Fault::CrashEngine(engine) => {
                let started = engines[engine].upstream.restart();
                started.expect("the engine's port is free again");
            }
            Fault::FreezeEngine(engine) => engines[engine].upstream.freeze(false),
            Fault::SlowEngine(engine) => engines[engine].upstream.slow(1.0),
            Fault::LoseReleases(engine) => engines[engine].upstream.lose_releases(false),
            Fault::SilenceEngine(_) | Fault::LeaveEngine(_) => {}
            Fault::StoreAway(None, _) => store.set_outage(None),
            Fault::StoreAway(Some(port), _) => store.faults(port, |faults| faults.outage = None),
            Fault::LoseAnswers => store.faults_everywhere(|faults| faults.lose_probability = 0.0),
            Fault::SlowStore => store.faults_everywhere(|faults| faults.delay = Duration::ZERO),
            Fault::CrashTool(tool, _) => {
                self.system.tools[tool].upstream.fault(plain::Fault::None);
            }
            Fault::LagList => self.system.instances.set_lag(Duration::ZERO),
        }
    }

    fn kill_entry(&mut self, entry: usize) {
        if self.system.entries[entry].is_none() {
            return;
        }
        self.endpoints.close(entry);
        let process = endpoints::name(entry);
        self.recorder.record(Event::Crashed { process });
        self.system.kill_entry(entry);
    }

    fn stop_entry(&mut self, entry: usize) {
        let Some(running) = self.system.entries[entry].take() else {
            return;
        };
        self.endpoints.close(entry);
        let recorder = self.recorder.clone();
        let process = endpoints::name(entry);
        recorder.record(Event::ShutdownBegun {
            process: process.clone(),
        });
        self.tasks.spawn(async move {
            let stopped = running.stop().await;
            let cut_off = u32::from(!stopped.drained);
            recorder.record(Event::ShutdownEnded { process, cut_off });
        });
    }

    fn leave_engine(&mut self, engine: usize) {
        let upstream = &self.system.engines[engine].upstream;
        if let Some(name) = upstream.recorded_name() {
            let upstream = name.clone();
            self.recorder.record(Event::UpstreamLeaving { upstream });
        }
        upstream.leave(true);
    }

    /// Starts an entry and opens it to callers once it reports readiness.
    async fn add_entry(&mut self) {
        let added = self.system.add_entry("hall-a").await;
        let index = added.expect("a port on loopback is free");
        let Some(running) = &self.system.entries[index] else {
            return;
        };
        let endpoint = endpoints::Endpoint::new(index, running);
        let endpoints = Arc::clone(&self.endpoints);
        self.tasks.spawn(async move {
            for _ in 0..MAX_READY_POLLS {
                let caller = caller::Caller::new();
                let ready = caller.plain(endpoint.callers, "GET", "/readyz", &[], "".into());
                if ready.await.status == 200 {
                    endpoints.open(endpoint);
                    return;
                }
                tokio::time::sleep(READY_POLL).await;
            }
        });
    }
}
