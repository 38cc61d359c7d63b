//! The script of the demonstration: load, injected faults and operators' changes, in order of time.

use std::io as std_io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_check::check;
use fw_check::event;
use fw_check::recorder;
use fw_local::faults;
use fw_local::history::calls;
use fw_local::history::operate;
use fw_local::history::program;
use fw_local::system;
use metrics_exporter_prometheus::PrometheusHandle;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use serde_json::json;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::Options;
use super::programs;
use crate::command::io;

/// Time between two steps of the script.
const STEP_INTERVAL: Duration = Duration::from_millis(900);
/// Downtime of a crashed side, and delay before a stopped entry is replaced.
const OUTAGE: Duration = Duration::from_millis(800);
/// Time between two progress lines while programs run.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Longest wait for a record to be in force, or for an engine to have turns under way.
const WAIT_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the histories that are read at the end.
const READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait for engines to free the memory of ended programs.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Seed of the random pauses of operators and readers.
const SEED: u64 = 1;

/// Results of the demonstration.
pub(super) struct Results {
    /// The recorded events.
    pub entries: Vec<event::Entry>,
    /// The checker's verdicts.
    pub report: check::Report,
    /// The results of the programs.
    pub programs: Vec<programs::Finished>,
    /// Programs whose history could not be read at the end.
    pub unread: Vec<id::ProgramId>,
    /// Prompt tokens that engines prefilled.
    pub prefilled: id::Tokens,
    /// Prompt tokens that engines had in their KV caches.
    pub cached: id::Tokens,
    /// The entries' counters, if the process had no other recorder of metrics.
    pub metrics: Option<PrometheusHandle>,
    /// Duration of the whole run.
    pub took: Duration,
}

impl Results {
    /// Returns whether no promise was violated, every program ended as expected, and all remaining
    /// histories could be read.
    pub fn has_passed(&self) -> bool {
        let all_good = self.programs.iter().all(programs::Finished::is_as_expected);
        !self.report.is_violated() && all_good && self.unread.is_empty()
    }
}

struct Script<'a, 'b> {
    opts: &'a Options,
    io: &'a mut io::Io<'b>,
    started_at: Instant,
    cx: calls::Context,
    driver: faults::Driver,
}

/// Runs the script.
///
/// # Errors
///
/// When a part of the system does not start, or a record is not accepted.
pub(super) async fn run(opts: &Options, io: &mut io::Io<'_>) -> std_io::Result<Results> {
    let started_at = Instant::now();
    let recorder = recorder::Recorder::new();
    let shape = super::shape(Some(&recorder));
    let metrics = shape.metrics.clone();
    let system = system::System::start(shape).await?;
    let cx = calls::Context {
        recorder,
        endpoints: Arc::default(),
    };
    let driver = faults::Driver::new(system, cx.recorder.clone(), Arc::clone(&cx.endpoints));
    let mut script = Script {
        opts,
        io,
        started_at,
        cx,
        driver,
    };
    script.progress("2 entries, 3 engines and a tool service with a side each, and a store are up");
    script.set_budget().await?;
    let stop = CancellationToken::new();
    let mut background = script.start_background(&stop);
    let mut running = programs::start(&script.cx, opts);
    let count = running.len();
    script.progress(format_args!(
        "{count} programs start, along with plain lookups"
    ));
    script.run_scenario(&mut background, &stop).await;
    let programs = script.wait_programs(&mut running).await;
    stop.cancel();
    while background.join_next().await.is_some() {}
    Ok(script.finish(programs, metrics).await)
}

impl Script<'_, '_> {
    /// Writes a line of progress.
    fn progress(&mut self, message: impl std::fmt::Display) {
        let at = self.started_at.elapsed().as_secs_f32();
        self.io.report(format_args!("{at:5.1} s  {message}"));
    }

    /// Stores a budget record that limits the turns of every program; waits until it is in force.
    async fn set_budget(&mut self) -> std_io::Result<()> {
        let budget = json!({
            "schema": 2,
            "service": system::AGENTS,
            "team": "*",
            "program": { "turns": programs::BUDGET },
        });
        let system = &self.driver.system;
        let answer = system.put_record("budget", "demo", 0, &budget).await;
        let revision = answer.body["revision"].as_i64();
        let (200, Some(revision)) = (answer.status, revision) else {
            let message = format!("the budget record was not accepted: {}", answer.text);
            return Err(std_io::Error::other(message));
        };
        let until = Instant::now() + WAIT_TIMEOUT;
        while system.revision_in_force() < revision {
            if Instant::now() > until {
                return Err(std_io::Error::other(
                    "the budget record did not come into force in time",
                ));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let turns = programs::BUDGET;
        self.progress(format_args!(
            "a record limits programs to {turns} turns each"
        ));
        Ok(())
    }

    fn start_background(&self, stop: &CancellationToken) -> JoinSet<()> {
        let mut background = JoinSet::new();
        for (n, name) in ["reader-a", "reader-b"].into_iter().enumerate() {
            let rng = Pcg64::seed_from_u64(SEED + n as u64);
            background.spawn(operate::run_reader(
                self.cx.clone(),
                name,
                rng,
                stop.clone(),
            ));
        }
        background.spawn(operate::sample_until_stopped(self.cx.clone(), stop.clone()));
        background
    }

    /// Injects the faults one after another, and starts the operators' changes between them.
    async fn run_scenario(&mut self, background: &mut JoinSet<()>, stop: &CancellationToken) {
        tokio::time::sleep(STEP_INTERVAL).await;
        let engine = self.busiest_engine().await;
        let under_way = self.driver.system.engines[engine].upstream.in_flight();
        self.progress(format_args!(
            "the side of engine {engine} crashes with {under_way} turns under way"
        ));
        self.inject(faults::Fault::KillSide(engine)).await;
        self.progress("the side has restarted");
        for (n, name) in ["operator-a", "operator-b"].into_iter().enumerate() {
            let rng = Pcg64::new(SEED.into(), n as u128);
            background.spawn(operate::run_operator(
                self.cx.clone(),
                name,
                rng,
                stop.clone(),
            ));
        }
        self.progress("two operators start to change the same record repeatedly");
        tokio::time::sleep(STEP_INTERVAL).await;
        let leaving = (engine + 1) % self.driver.system.engines.len();
        self.progress(format_args!("engine {leaving} starts to leave"));
        self.inject(faults::Fault::LeaveEngine(leaving)).await;
        self.progress("entry 1 is stopped gracefully; entry 2 is to replace it");
        self.inject(faults::Fault::StopEntry(1)).await;
        self.driver.settle().await;
        self.progress("entry 1 has stopped, and entry 2 takes calls");
    }

    /// Injects a fault, and clears it after [`OUTAGE`].
    async fn inject(&mut self, fault: faults::Fault) {
        let timed = faults::Timed {
            at: Duration::ZERO,
            lasts: OUTAGE,
            fault,
        };
        self.driver.run(&[timed]).await;
    }

    /// Returns the engine with the most turns under way; waits until some engine has any.
    async fn busiest_engine(&self) -> usize {
        let engines = &self.driver.system.engines;
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let loads = engines.iter().map(|worker| worker.upstream.in_flight());
            let most = loads.enumerate().max_by_key(|(_, load)| *load);
            let (engine, load) = most.unwrap_or_default();
            if load > 0 || Instant::now() > until {
                return engine;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for all programs; each gives up by itself at its timeout.
    async fn wait_programs(
        &mut self,
        running: &mut JoinSet<programs::Finished>,
    ) -> Vec<programs::Finished> {
        let count = running.len();
        let mut done = Vec::new();
        let mut ticks = tokio::time::interval(PROGRESS_INTERVAL);
        loop {
            tokio::select! {
                next = running.join_next() => match next {
                    Some(next) => done.push(next.expect("no task of a program panics")),
                    None => break,
                },
                _ = ticks.tick() => {
                    let ended = done.len();
                    self.progress(format_args!("{ended} of {count} programs have ended"));
                }
            }
        }
        self.progress("all programs have ended");
        done
    }

    /// Waits until changes and releases have taken effect, reads the histories of programs not
    /// ended, and checks the recorded events.
    async fn finish(
        self,
        programs: Vec<programs::Finished>,
        metrics: Option<PrometheusHandle>,
    ) -> Results {
        let Self {
            opts, cx, driver, ..
        } = self;
        operate::wait_in_force(&cx, opts.check.in_force_within).await;
        let unread = read_unended(&cx, &programs).await;
        wait_released(&driver.system, &programs).await;
        operate::sample(&cx);
        let counts = driver.system.engines.iter();
        let counts: Vec<_> = counts.map(|worker| worker.upstream.counts()).collect();
        let entries = cx.recorder.entries();
        driver.end();
        Results {
            report: check::verify(&entries, &opts.check),
            entries,
            programs,
            unread,
            prefilled: counts.iter().map(|counts| counts.prefilled).sum(),
            cached: counts.iter().map(|counts| counts.cached).sum(),
            metrics,
            took: self.started_at.elapsed(),
        }
    }
}

/// Reads the histories of programs that were not ended; returns the programs whose read failed.
async fn read_unended(cx: &calls::Context, programs: &[programs::Finished]) -> Vec<id::ProgramId> {
    let until = Instant::now() + READ_TIMEOUT;
    let mut unread = Vec::new();
    let outcomes = programs.iter().map(|done| &done.outcome);
    for kept in outcomes.filter(|outcome| !outcome.ended && outcome.answered > 0) {
        if !program::read(cx, &kept.program, until).await {
            unread.push(kept.program.clone());
        }
    }
    unread
}

/// Waits, at most [`RELEASE_TIMEOUT`], until no engine holds memory for a program that was ended.
async fn wait_released(system: &system::System, programs: &[programs::Finished]) {
    let until = Instant::now() + RELEASE_TIMEOUT;
    let outcomes = programs.iter().map(|done| &done.outcome);
    let ended: Vec<_> = outcomes.filter(|outcome| outcome.ended).collect();
    let holds_any = || {
        system.engines.iter().any(|worker| {
            let held = worker.upstream.cached();
            ended.iter().any(|p| held.contains_key(&p.program))
        })
    };
    while holds_any() && Instant::now() < until {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
