//! The programs that the demonstration runs, and their results.

use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_check::event::Event;
use fw_local::history::calls;
use fw_local::history::program;
use tokio::task::JoinSet;

use super::Options;

/// Turns that the budget record of the demonstration allows a program.
pub(super) const BUDGET: id::Turn = 12;

const SITE_TURNS: id::Turn = 5;
const SITE_PAUSE: Duration = Duration::from_millis(150);
const MEDIATION_TURNS: id::Turn = 9;
const MEDIATION_PAUSE: Duration = Duration::from_millis(200);
/// Every n-th program sends a turn, and a tool call, through two entries at once.
const DOUBLED_EVERY: usize = 4;
/// The caller of every n-th program disconnects during a turn, and sends the turn again.
const LEFT_EVERY: usize = 5;
/// Every n-th program is not ended by its caller; its history is read at the end of the run.
const KEPT_EVERY: usize = 10;

/// Sort of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sort {
    /// Builds a site: few turns, each with the whole history.
    Site,
    /// Mediates: more turns, each with only the new messages.
    Mediation,
    /// Never stops by itself; the turn budget must end it.
    Endless,
}

/// Result of a program whose caller has finished.
#[derive(Debug)]
pub(super) struct Finished {
    pub sort: Sort,
    pub outcome: program::Outcome,
    /// Time from its first turn until its end was confirmed, pauses included.
    pub took: Duration,
    ends: bool,
}

impl Finished {
    /// Returns whether the program finished and ended as planned, or, for an endless one, was
    /// refused exactly at the limit of its budget.
    pub fn is_as_expected(&self) -> bool {
        let Self { outcome, .. } = self;
        match self.sort {
            Sort::Endless => {
                let is_refused = outcome.refused == Some(error::Kind::BudgetExhausted);
                is_refused && outcome.answered == BUDGET
            }
            Sort::Site | Sort::Mediation => outcome.finished && outcome.ended == self.ends,
        }
    }
}

/// Starts all programs, with their first turns spread over `opts.spread`.
pub(super) fn start(cx: &calls::Context, opts: &Options) -> JoinSet<Finished> {
    let sites = (0..opts.sites).map(|n| (Sort::Site, site(n), n, opts.sites));
    let mediations =
        (0..opts.mediations).map(|n| (Sort::Mediation, mediation(n), n, opts.mediations));
    let endless = std::iter::once((Sort::Endless, endless(), 0, 1));
    let mut running = JoinSet::new();
    for (sort, plan, n, of) in sites.chain(mediations).chain(endless) {
        let share = n as f64 / of as f64;
        let delay = opts.spread.mul_f64(share);
        let limit = opts.limit;
        let plan = program::Plan { limit, ..plan };
        cx.recorder.record(Event::BudgetSet {
            program: plan.program.clone(),
            tokens: None,
            turns: Some(BUDGET),
        });
        running.spawn(run(cx.clone(), sort, plan, delay));
    }
    running
}

async fn run(cx: calls::Context, sort: Sort, plan: program::Plan, delay: Duration) -> Finished {
    tokio::time::sleep(delay).await;
    let started_at = Instant::now();
    let ends = plan.end;
    let outcome = program::run(cx, plan).await;
    Finished {
        sort,
        outcome,
        took: started_at.elapsed(),
        ends,
    }
}

fn site(n: usize) -> program::Plan {
    program::Plan {
        turns: SITE_TURNS,
        pause: SITE_PAUSE,
        tools: vec![2, 5],
        ..plan("site", n)
    }
}

fn mediation(n: usize) -> program::Plan {
    program::Plan {
        turns: MEDIATION_TURNS,
        pause: MEDIATION_PAUSE,
        tools: vec![4, 9],
        delta: true,
        ..plan("mediation", n)
    }
}

fn endless() -> program::Plan {
    program::Plan {
        turns: BUDGET + 1,
        ..plan("endless", 1)
    }
}

fn plan(name: &str, n: usize) -> program::Plan {
    let for_every = |each: usize, turns: &[id::Turn]| match n % each {
        0 => turns.to_vec(),
        _ => Vec::new(),
    };
    program::Plan {
        program: smol_str::format_smolstr!("{name}-{n}"),
        start: Duration::ZERO,
        turns: 1,
        delta: false,
        stream: true,
        pause: Duration::ZERO,
        tools: Vec::new(),
        duplicated: for_every(DOUBLED_EVERY, &[2, 4]),
        abandoned: for_every(LEFT_EVERY, &[3]),
        end: n % KEPT_EVERY != 1,
        limit: Duration::ZERO,
    }
}
