//! Closed-loop load generator: a fixed number of callers, each of which sends its next call once
//! the last one has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fw_local::agent;
use fw_local::caller;
use hdrhistogram::Histogram;
use tokio::task::JoinSet;

/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 600_000_000;
/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// The load that is sent.
#[derive(Clone, Copy, Debug)]
pub enum Workload {
    /// GET requests to a plain service.
    Plain,
    /// Programs with streamed answers, whose turns each send the whole history.
    Programs {
        /// Number of turns of each program.
        turns: u32,
        /// Number of words in the first message.
        words: usize,
        /// Most tokens of each answer.
        answer: u64,
    },
}

/// Measurements of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Time of a plain request or a whole program, in microseconds.
    pub took: Histogram<u64>,
    /// Time to the first token of each turn, in microseconds.
    pub first: Histogram<u64>,
    /// Number of calls or programs that failed; they are in no histogram.
    pub failed: usize,
    /// The first error.
    pub error: Option<String>,
}

impl Default for Outcome {
    fn default() -> Self {
        Self {
            took: histogram(),
            first: histogram(),
            failed: 0,
            error: None,
        }
    }
}

impl Outcome {
    /// Merges the measurements of `other`.
    pub fn add(&mut self, other: &Self) {
        self.took += &other.took;
        self.first += &other.first;
        self.failed += other.failed;
        self.error = self.error.take().or_else(|| other.error.clone());
    }

    fn record_failure(&mut self, why: String) {
        self.failed += 1;
        self.error.get_or_insert(why);
    }
}

/// Sends `calls` requests or programs of `workload`, `concurrency` at a time, round-robin over
/// `addrs`. Names of programs begin with `name`.
pub async fn run(
    addrs: &[SocketAddr],
    workload: Workload,
    concurrency: usize,
    calls: usize,
    name: &str,
) -> Outcome {
    let caller = caller::Caller::new();
    let next = Arc::new(AtomicUsize::new(0));
    let mut tasks = JoinSet::new();
    for _ in 0..concurrency {
        let caller = caller.clone();
        let next = next.clone();
        let addrs = addrs.to_vec();
        let name = name.to_owned();
        tasks.spawn(async move {
            let mut outcome = Outcome::default();
            loop {
                let call = next.fetch_add(1, Ordering::Relaxed);
                if call >= calls {
                    return outcome;
                }
                let addr = addrs[call % addrs.len()];
                match workload {
                    Workload::Plain => plain(&caller, addr, &mut outcome).await,
                    Workload::Programs { .. } => {
                        program(
                            &caller,
                            addr,
                            workload,
                            format!("{name}-{call}"),
                            &mut outcome,
                        )
                        .await;
                    }
                }
            }
        });
    }
    let mut all = Outcome::default();
    while let Some(Ok(outcome)) = tasks.join_next().await {
        all.add(&outcome);
    }
    all
}

async fn plain(caller: &caller::Caller, addr: SocketAddr, outcome: &mut Outcome) {
    let answer = caller
        .plain(addr, "GET", "/notices/7", &[], "".into())
        .await;
    if answer.status == 200 && answer.whole {
        record(&mut outcome.took, answer.took);
    } else {
        outcome.record_failure(format!("{} {}", answer.status, answer.text));
    }
}

async fn program(
    caller: &caller::Caller,
    addr: SocketAddr,
    workload: Workload,
    program: String,
    outcome: &mut Outcome,
) {
    let Workload::Programs {
        turns,
        words,
        answer,
    } = workload
    else {
        return;
    };
    let opts = agent::Options {
        program,
        turns,
        words,
        answer,
        pause: Duration::ZERO,
        retries: 0,
        end: false,
        ..agent::Options::default()
    };
    let ran = agent::run(caller, &[addr], &opts).await;
    for first in &ran.first {
        record(&mut outcome.first, *first);
    }
    if ran.finished {
        record(&mut outcome.took, ran.took);
    } else {
        outcome.record_failure(format!("after {} turns: {:?}", ran.turns, ran.errors));
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros);
}
