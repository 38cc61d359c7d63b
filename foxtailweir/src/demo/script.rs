//! What happens in the demonstration, and when.

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
const STEP: Duration = Duration::from_millis(900);
/// How long a crashed side stays away, and a stopped entry is not replaced.
const AWAY: Duration = Duration::from_millis(800);
/// Time between two lines of progress, while programs run.
const PROGRESS: Duration = Duration::from_secs(1);
/// Time between two looks at something that is waited for.
const POLL: Duration = Duration::from_millis(5);
/// Longest wait for a record to be in force, or for an engine to be at work.
const WAIT_LIMIT: Duration = Duration::from_secs(3);
/// Longest wait for histories at the end.
const READ_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for engines to free the memory of ended programs.
const FREE_WAIT: Duration = Duration::from_secs(3);
/// What operators and readers draw their pauses from.
const SEED: u64 = 1;

/// What was seen.
pub(super) struct Seen {
    /// The record.
    pub entries: Vec<event::Entry>,
    /// The checker's verdicts.
    pub report: check::Report,
    /// The programs.
    pub programs: Vec<programs::Done>,
    /// Programs whose history could not be read at the end.
    pub unread: Vec<id::ProgramId>,
    /// Prompt tokens that engines computed.
    pub prefilled: id::Tokens,
    /// Prompt tokens that engines found in their caches.
    pub cached: id::Tokens,
    /// The entries' counters, if the process had no other recorder of metrics.
    pub metrics: Option<PrometheusHandle>,
    /// Time that all of it took.
    pub took: Duration,
}

impl Seen {
    /// Whether no promise was violated, and every program came to its end.
    pub fn is_good(&self) -> bool {
        let all_good = self.programs.iter().all(programs::Done::is_good);
        !self.report.is_violated() && all_good && self.unread.is_empty()
    }
}

struct Script<'a, 'b> {
    opts: &'a Options,
    io: &'a mut io::Io<'b>,
    begun: Instant,
    cx: calls::Context,
    driver: faults::Driver,
}

/// Plays the script.
///
/// # Errors
///
/// When a part of the system does not start, or a record is not accepted.
pub(super) async fn run(opts: &Options, io: &mut io::Io<'_>) -> std_io::Result<Seen> {
    let begun = Instant::now();
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
        begun,
        cx,
        driver,
    };
    script.tell("2 entries, 3 engines and a tool service with a side each, and a store are up");
    script.set_budget().await?;
    let stop = CancellationToken::new();
    let mut others = script.start_readers(&stop);
    let mut running = programs::start(&script.cx, opts);
    let count = running.len();
    script.tell(format_args!("{count} programs begin, beside plain lookups"));
    script.disturb(&mut others, &stop).await;
    let programs = script.wait(&mut running).await;
    stop.cancel();
    while others.join_next().await.is_some() {}
    Ok(script.end(programs, metrics).await)
}

impl Script<'_, '_> {
    /// Writes a line of progress.
    fn tell(&mut self, what: impl std::fmt::Display) {
        let at = self.begun.elapsed().as_secs_f32();
        self.io.note(format_args!("{at:5.1} s  {what}"));
    }

    /// Limits the turns of every program, and waits until that is in force.
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
            let message = format!("the budget's record: {}", answer.text);
            return Err(std_io::Error::other(message));
        };
        let until = Instant::now() + WAIT_LIMIT;
        while system.revision_in_force() < revision {
            if Instant::now() > until {
                return Err(std_io::Error::other("the budget's record is not in force"));
            }
            tokio::time::sleep(POLL).await;
        }
        let turns = programs::BUDGET;
        self.tell(format_args!(
            "a record limits programs to {turns} turns each"
        ));
        Ok(())
    }

    fn start_readers(&self, stop: &CancellationToken) -> JoinSet<()> {
        let mut others = JoinSet::new();
        for (n, name) in ["reader-a", "reader-b"].into_iter().enumerate() {
            let rng = Pcg64::seed_from_u64(SEED + n as u64);
            others.spawn(operate::run_reader(
                self.cx.clone(),
                name,
                rng,
                stop.clone(),
            ));
        }
        others.spawn(operate::sample_until_stopped(self.cx.clone(), stop.clone()));
        others
    }

    /// What goes wrong, and what operators do.
    async fn disturb(&mut self, others: &mut JoinSet<()>, stop: &CancellationToken) {
        tokio::time::sleep(STEP).await;
        let engine = self.busiest_engine().await;
        let under_way = self.driver.system.engines[engine].upstream.under_way();
        self.tell(format_args!(
            "the side of engine {engine} crashes with {under_way} turns under way"
        ));
        self.fault(faults::Fault::KillSide(engine)).await;
        self.tell("it is back");
        for (n, name) in ["operator-a", "operator-b"].into_iter().enumerate() {
            let rng = Pcg64::new(SEED.into(), n as u128);
            others.spawn(operate::run_operator(
                self.cx.clone(),
                name,
                rng,
                stop.clone(),
            ));
        }
        self.tell("two operators begin to change the same record, again and again");
        tokio::time::sleep(STEP).await;
        let leaving = (engine + 1) % self.driver.system.engines.len();
        self.tell(format_args!("engine {leaving} begins to leave"));
        self.fault(faults::Fault::LeaveEngine(leaving)).await;
        self.tell("entry 1 is told to stop gracefully; another one is to take its place");
        self.fault(faults::Fault::StopEntry(1)).await;
        self.driver.settle().await;
        self.tell("entry 1 has ended, and entry 2 takes calls");
    }

    /// Brings a fault about, and heals it.
    async fn fault(&mut self, fault: faults::Fault) {
        let timed = faults::Timed {
            at: Duration::ZERO,
            lasts: AWAY,
            fault,
        };
        self.driver.run(&[timed]).await;
    }

    /// The engine with the most turns under way; waits for one that has any.
    async fn busiest_engine(&self) -> usize {
        let engines = &self.driver.system.engines;
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            let loads = engines.iter().map(|worker| worker.upstream.under_way());
            let most = loads.enumerate().max_by_key(|(_, load)| *load);
            let (engine, load) = most.unwrap_or_default();
            if load > 0 || Instant::now() > until {
                return engine;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits for the programs, which give up by themselves.
    async fn wait(&mut self, running: &mut JoinSet<programs::Done>) -> Vec<programs::Done> {
        let count = running.len();
        let mut done = Vec::new();
        let mut progress = tokio::time::interval(PROGRESS);
        loop {
            tokio::select! {
                next = running.join_next() => match next {
                    Some(next) => done.push(next.expect("no task of a program panics")),
                    None => break,
                },
                _ = progress.tick() => {
                    let ended = done.len();
                    self.tell(format_args!("{ended} of {count} programs have ended"));
                }
            }
        }
        self.tell("all programs have ended");
        done
    }

    /// Lets changes and releases arrive, reads what is kept, and judges the record.
    async fn end(self, programs: Vec<programs::Done>, metrics: Option<PrometheusHandle>) -> Seen {
        let Self {
            opts, cx, driver, ..
        } = self;
        operate::wait_in_force(&cx, opts.check.in_force_within).await;
        let unread = read_kept(&cx, &programs).await;
        wait_freed(&driver.system, &programs).await;
        operate::sample(&cx);
        let counts = driver.system.engines.iter();
        let counts: Vec<_> = counts.map(|worker| worker.upstream.counts()).collect();
        let entries = cx.recorder.entries();
        driver.end();
        Seen {
            report: check::verify(&entries, &opts.check),
            entries,
            programs,
            unread,
            prefilled: counts.iter().map(|counts| counts.prefilled).sum(),
            cached: counts.iter().map(|counts| counts.cached).sum(),
            metrics,
            took: self.begun.elapsed(),
        }
    }
}

/// Reads the histories of the programs that were not ended; returns those that could not be read.
async fn read_kept(cx: &calls::Context, programs: &[programs::Done]) -> Vec<id::ProgramId> {
    let until = Instant::now() + READ_LIMIT;
    let mut unread = Vec::new();
    let outcomes = programs.iter().map(|done| &done.outcome);
    for kept in outcomes.filter(|outcome| !outcome.ended && outcome.answered > 0) {
        if !program::read(cx, &kept.program, until).await {
            unread.push(kept.program.clone());
        }
    }
    unread
}

/// Waits a little until no engine holds memory for a program that was ended.
async fn wait_freed(system: &system::System, programs: &[programs::Done]) {
    let until = Instant::now() + FREE_WAIT;
    let outcomes = programs.iter().map(|done| &done.outcome);
    let ended: Vec<_> = outcomes.filter(|outcome| outcome.ended).collect();
    let holds_any = || {
        system.engines.iter().any(|worker| {
            let held = worker.upstream.held();
            ended.iter().any(|p| held.contains_key(&p.program))
        })
    };
    while holds_any() && Instant::now() < until {
        tokio::time::sleep(POLL).await;
    }
}
