//! Randomized runs of callers, operators and faults against a whole system. Each run is recorded
//! and its record verified by the checker of the promises.
//!
//! The workload and the faults are drawn from the run's seed; the interleaving of threads is not
//! reproducible.

pub mod calls;
pub mod endpoints;
pub mod operate;
pub mod program;

use std::fmt;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_check::check;
use fw_check::event;
use fw_check::recorder;
use fw_fake::engine;
use fw_fake::plain;
use fw_fake::recording;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::faults;
use crate::system;

/// Store ports reserved for entries that are started during a run.
const SPARE_PORTS: usize = 4;
/// Time after which a crashed plain service restarts.
const TOOL_RESTART: Duration = Duration::from_millis(100);
/// Longest time to read the histories at the end of a run.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest that an engine may hold memory of a program that was ended. A side that was down when
/// the program ended queries its keeper only once the program has been idle for 30 s
/// (`verify_idle_after` of the side).
const FREE_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which the engines' memory is polled.
const MEMORY_POLL: Duration = Duration::from_millis(50);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the generator that programs and faults are drawn from.
    pub seed: u64,
    /// Number of programs.
    pub programs: usize,
    /// Whether faults are injected.
    pub faults: bool,
    /// Time after which the caller of a program gives up.
    pub limit: Duration,
    /// The checker's bounds.
    pub check: check::Options,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 1,
            programs: 10,
            faults: true,
            limit: Duration::from_secs(40),
            check: check::Options {
                free_within: FREE_TIMEOUT,
                leave_within: Duration::from_secs(4),
                in_force_within: Duration::from_secs(8),
            },
        }
    }
}

/// Result of a run.
pub struct Outcome {
    /// The recorded events.
    pub entries: Vec<event::Entry>,
    /// The checker's verdicts.
    pub report: check::Report,
    /// The injected faults.
    pub faults: Vec<faults::Timed>,
    /// Outcome of each program.
    pub programs: Vec<program::Outcome>,
    /// Programs whose history could not be read at the end.
    pub unread: Vec<id::ProgramId>,
    /// Decisions of the entries about programs that failed or violated a promise. The record holds
    /// only the results that callers saw; these explain them.
    pub decisions: Vec<(id::ProgramId, Vec<endpoints::Decision>)>,
    /// Duration of the run.
    pub took: Duration,
}

impl Outcome {
    /// Whether every promise held, every program was finished and every history could be read.
    pub fn is_good(&self) -> bool {
        let all_finished = self.programs.iter().all(|program| program.finished);
        !self.report.is_violated() && all_finished && self.unread.is_empty()
    }

    /// Number of programs finished.
    pub fn finished(&self) -> usize {
        let finished = self.programs.iter().filter(|program| program.finished);
        finished.count()
    }

    /// Number of programs of which the system has lost turns that were answered to their callers:
    /// the next turn was refused because of it, or the history could not be read.
    pub fn lost(&self) -> usize {
        let is_lost = |p: &&program::Outcome| {
            let is_refused = p.answered > 0 && p.refused.is_some_and(indicates_loss);
            is_refused || self.unread.contains(&p.program)
        };
        self.programs.iter().filter(is_lost).count()
    }

    /// Number of violations of `promise`.
    pub fn violations(&self, promise: check::Promise) -> usize {
        match self.report.verdict(promise) {
            check::Verdict::Violated { evidence } => evidence.len(),
            _ => 0,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for fault in &self.faults {
            writeln!(f, "fault      {fault:?}")?;
        }
        for program in self.programs.iter().filter(|program| !program.finished) {
            writeln!(f, "unfinished {program:?}")?;
        }
        for program in &self.unread {
            writeln!(f, "unread     {program}")?;
        }
        for (program, decisions) in &self.decisions {
            for endpoints::Decision { at, process, event } in decisions {
                let (what, why) = (&event.what, &event.why);
                writeln!(f, "{program} at {at:?}, {process}: {what}: {why}")?;
            }
        }
        write!(f, "{}", self.report)
    }
}

/// Whether an error to a turn shows that the entry lacks the turns before it.
fn indicates_loss(kind: error::Kind) -> bool {
    use error::Kind::HistoryMismatch;
    use error::Kind::UnknownProgram;
    use error::Kind::WrongTurn;
    matches!(kind, HistoryMismatch | UnknownProgram | WrongTurn)
}

/// Runs callers, operators and faults against a system of their own, and checks the record.
///
/// # Errors
///
/// When the system does not start.
pub async fn run(opts: &Options) -> io::Result<Outcome> {
    let begun = Instant::now();
    let recorder = recorder::Recorder::new();
    let system_opts = system_opts(&recorder);
    let sizes = faults::Options {
        entries: system_opts.entries.len(),
        engines: system_opts.engines.len(),
        tools: system_opts.tools.len(),
    };
    let mut rng = Pcg64::seed_from_u64(opts.seed);
    let faults = match opts.faults {
        true => faults::draw(&mut rng, &sizes),
        false => Vec::new(),
    };
    let plans = plans(&mut rng, opts);
    let cx = calls::Context {
        recorder,
        endpoints: Arc::default(),
    };
    let system = system::System::start(system_opts).await?;
    let mut driver = faults::Driver::new(system, cx.recorder.clone(), Arc::clone(&cx.endpoints));
    let stop = CancellationToken::new();
    let mut background = start_background(&cx, opts.seed, &stop);
    let mut agents = JoinSet::new();
    for plan in plans {
        agents.spawn(program::run(cx.clone(), plan));
    }
    driver.run(&faults).await;
    let programs = agents.join_all().await;
    stop.cancel();
    driver.settle().await;
    while background.join_next().await.is_some() {}
    operate::wait_in_force(&cx, opts.check.in_force_within + Duration::from_secs(1)).await;
    let unread = read_histories(&cx, &programs).await;
    let limit = opts.check.free_within + Duration::from_secs(1);
    wait_freed(&driver.system, &programs, limit).await;
    operate::sample(&cx);
    let entries = cx.recorder.entries();
    let report = check::verify(&entries, &opts.check);
    let suspects = suspects(&programs, &unread, &report);
    let decided = |program: id::ProgramId| {
        let decisions = cx.endpoints.decisions(&program, begun);
        (program, decisions)
    };
    let decisions = suspects.into_iter().map(decided).collect();
    driver.end();
    Ok(Outcome {
        report,
        entries,
        faults,
        programs,
        unread,
        decisions,
        took: begun.elapsed(),
    })
}

fn system_opts(recorder: &recorder::Recorder) -> system::Options {
    let notes = |upstream: &str| {
        Some(recording::Recording {
            recorder: recorder.clone(),
            upstream: upstream.into(),
        })
    };
    system::Options {
        entries: vec!["hall-a", "hall-b", "hall-c"],
        engines: vec!["hall-a", "hall-b", "hall-c"],
        tools: vec!["hall-a", "hall-b"],
        engine: engine::Options {
            recording: notes(system::AGENTS),
            ..engine::Options::default()
        },
        tool: plain::Options {
            restart_after: Some(TOOL_RESTART),
            recording: notes(system::TOOLS),
            ..plain::Options::default()
        },
        spare_ports: SPARE_PORTS,
        ..system::Options::default()
    }
}

fn plans(rng: &mut Pcg64, opts: &Options) -> Vec<program::Plan> {
    let name = |n| format!("p-{}-{n}", opts.seed);
    let all = 0..opts.programs;
    all.map(|n| program::Plan::draw(rng, &name(n), opts.limit))
        .collect()
}

/// Starts the operators, the readers and the sampling of the records in force.
fn start_background(cx: &calls::Context, seed: u64, stop: &CancellationToken) -> JoinSet<()> {
    let mut background = JoinSet::new();
    for (n, name) in ["operator-a", "operator-b"].into_iter().enumerate() {
        let rng = Pcg64::new(seed.into(), n as u128);
        background.spawn(operate::run_operator(cx.clone(), name, rng, stop.clone()));
    }
    for (n, name) in ["reader-a", "reader-b"].into_iter().enumerate() {
        let rng = Pcg64::new(seed.into(), 2 + n as u128);
        background.spawn(operate::run_reader(cx.clone(), name, rng, stop.clone()));
    }
    background.spawn(operate::sample_until_stopped(cx.clone(), stop.clone()));
    background
}

/// Reads the histories of all programs that were not ended; returns those that could not be read.
async fn read_histories(cx: &calls::Context, programs: &[program::Outcome]) -> Vec<id::ProgramId> {
    let until = Instant::now() + READ_TIMEOUT;
    let mut unread = Vec::new();
    let remaining = programs.iter().filter(|p| !p.ended && p.answered > 0);
    for program in remaining {
        if !program::read(cx, &program.program, until).await {
            unread.push(program.program.clone());
        }
    }
    unread
}

/// Programs that were not finished, whose history was not read, or that a violation names.
fn suspects(
    programs: &[program::Outcome],
    unread: &[id::ProgramId],
    report: &check::Report,
) -> Vec<id::ProgramId> {
    let report = report.to_string();
    let is_suspect = |p: &&program::Outcome| {
        let is_named = report.contains(&format!("{} ", p.program));
        !p.finished || unread.contains(&p.program) || is_named
    };
    let suspects = programs.iter().filter(is_suspect);
    suspects.map(|p| p.program.clone()).collect()
}

/// Waits until no engine holds memory for a program that was ended, or `limit` has passed.
async fn wait_freed(system: &system::System, programs: &[program::Outcome], limit: Duration) {
    let until = Instant::now() + limit;
    let ended: Vec<_> = programs.iter().filter(|p| p.ended).collect();
    let holds_any = || {
        let held = system.engines.iter().map(|worker| worker.upstream.cached());
        held.into_iter()
            .any(|held| ended.iter().any(|p| held.contains_key(&p.program)))
    };
    while holds_any() && Instant::now() < until {
        tokio::time::sleep(MEMORY_POLL).await;
    }
}
