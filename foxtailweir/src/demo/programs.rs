//! The programs of the demonstration, and how each of them went.

use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_check::event::Event;
use fw_local::history::calls;
use fw_local::history::program;
use tokio::task::JoinSet;

use super::Options;

/// Turns that the budget of the demonstration allows a program.
pub(super) const BUDGET: id::Turn = 12;

const SITE_TURNS: id::Turn = 5;
const SITE_PAUSE: Duration = Duration::from_millis(150);
const MEDIATION_TURNS: id::Turn = 9;
const MEDIATION_PAUSE: Duration = Duration::from_millis(200);
/// Each n-th program sends a turn, and a tool call, through two entries at once.
const DOUBLED: usize = 4;
/// The caller of each n-th program goes away in a turn, and sends it again.
const LEFT: usize = 5;
/// Each n-th program is not ended by its caller; its history is read at the end.
const KEPT: usize = 10;

/// What a program is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Sort {
    /// Builds a site.
    Site,
    /// Mediates.
    Mediation,
    /// Never stops by itself; its budget must end it.
    Endless,
}

/// A program that came to its end.
#[derive(Debug)]
pub(super) struct Done {
    pub sort: Sort,
    pub outcome: program::Outcome,
    /// From its first turn until its end was confirmed, pauses included.
    pub took: Duration,
    ends: bool,
}

impl Done {
    /// Whether it went as it should: to its last turn, or as far as its budget allows.
    pub fn is_good(&self) -> bool {
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

/// Starts all programs, with their first turns spread over time.
pub(super) fn start(cx: &calls::Context, opts: &Options) -> JoinSet<Done> {
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

async fn run(cx: calls::Context, sort: Sort, plan: program::Plan, delay: Duration) -> Done {
    tokio::time::sleep(delay).await;
    let begun = Instant::now();
    let ends = plan.end;
    let outcome = program::run(cx, plan).await;
    Done {
        sort,
        outcome,
        took: begun.elapsed(),
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
    let some = |each: usize, turns: &[id::Turn]| match n % each {
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
        duplicated: some(DOUBLED, &[2, 4]),
        abandoned: some(LEFT, &[3]),
        end: n % KEPT != 1,
        limit: Duration::ZERO,
    }
}
