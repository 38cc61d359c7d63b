//! Measures the decisions against their baselines in a small queueing simulation.
//!
//! `cargo run --release -p fw-plan --example policy` runs everything and writes the measured part
//! of `docs/POLICY.md` and its plot. With arguments such as `admit.target=0.05 load=0.95` it runs
//! only the product's policy with these options and prints the results.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

mod page;
mod plot;
mod sim;
mod trial;

use sim::policy;
use sim::stats;
use sim::trace;
use sim::world;

/// Offered load as a multiple of capacity.
const LOADS: [f64; 6] = [0.5, 0.8, 0.95, 1.0, 1.2, 2.0];
/// Each cell without faults is run with each of these seeds, and the results are added up.
const SEEDS: [u64; 2] = [1, 2];
const THREADS: usize = 4;
/// Programs that arrive from `MEASURE_FROM` to `LAST_ARRIVAL` are followed until `END`.
const MEASURE_FROM: Duration = Duration::from_secs(60);
const LAST_ARRIVAL: Duration = Duration::from_secs(140);
const END: Duration = Duration::from_secs(230);

/// Load at which faults are injected.
const FAULT_LOAD: f64 = 0.8;

/// Condition of the engines during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scenario {
    Steady,
    /// Each step of one engine takes three times as long, during the whole run.
    Slow,
    /// One engine crashes every 8 s and is back 4 s later.
    Flap,
    /// Half of all attempts fail, for 20 s.
    Storm,
}

/// One user under one policy at one load.
#[derive(Clone, Debug)]
struct Cell {
    shape: trace::Shape,
    policy: policy::Policy,
    load: f64,
    scenario: Scenario,
}

/// Results of a cell.
#[derive(Clone, Debug)]
struct Row {
    cell: Cell,
    stats: stats::Stats,
}

impl Scenario {
    const FAULTS: [Self; 3] = [Self::Slow, Self::Flap, Self::Storm];

    fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Slow => "one engine three times as slow",
            Self::Flap => "one engine crashes every 8 s",
            Self::Storm => "half of all attempts fail for 20 s",
        }
    }

    fn script(self) -> Vec<(Duration, world::Fault)> {
        match self {
            Self::Steady => Vec::new(),
            Self::Slow => vec![(Duration::ZERO, world::Fault::Slow(0, 3.0))],
            Self::Storm => {
                let second = Duration::from_secs;
                let storm = (second(90), world::Fault::FailureRate(0.5));
                vec![
                    storm,
                    (second(110), world::Fault::FailureRate(world::FAILURE_RATE)),
                ]
            }
            Self::Flap => (0..END.as_secs())
                .step_by(8)
                .flat_map(|second| {
                    let crash = (Duration::from_secs(second), world::Fault::Crash(0));
                    let up = (Duration::from_secs(second + 4), world::Fault::Up(0));
                    [crash, up]
                })
                .collect(),
        }
    }
}

fn main() -> std::io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    if !args.is_empty() {
        trial::print(&run_all(&trial::cells(&args)));
        return Ok(());
    }
    let rows = run_all(&all_cells());
    trial::print(&rows);
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    plot::write(&rows, &docs.join("policy.svg"))?;
    page::write(&rows, &docs.join("POLICY.md"))
}

fn all_cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for shape in [trace::SURATWALA, trace::FAIRGROUND] {
        for policy in policy::Policy::all(&shape) {
            let steady = LOADS.map(|load| (load, Scenario::Steady));
            let faults = Scenario::FAULTS.map(|scenario| (FAULT_LOAD, scenario));
            for (load, scenario) in steady.into_iter().chain(faults) {
                // At 100 % only the product's own goodput is needed.
                if load == 1.0 && policy.name != policy::PRODUCT {
                    continue;
                }
                cells.push(Cell {
                    shape: shape.clone(),
                    policy: policy.clone(),
                    load,
                    scenario,
                });
            }
        }
    }
    cells
}

fn run_all(cells: &[Cell]) -> Vec<Row> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![None; cells.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| run_cells(cells, &next, &results));
        }
    });
    let results = results.into_inner().expect("no worker panicked");
    let rows = cells.iter().cloned().zip(results.into_iter().flatten());
    rows.map(|(cell, stats)| Row { cell, stats }).collect()
}

fn run_cells(cells: &[Cell], next: &AtomicUsize, results: &Mutex<Vec<Option<stats::Stats>>>) {
    while let Some((index, cell)) = {
        let index = next.fetch_add(1, Ordering::Relaxed);
        cells.get(index).map(|cell| (index, cell))
    } {
        let mut sum = stats::Stats::new(cell.shape.teams, cell.shape.engines);
        let seeds = match cell.scenario {
            Scenario::Steady => &SEEDS[..],
            _ => &SEEDS[..1],
        };
        for seed in seeds.iter().copied() {
            sum.merge(&world::run(cell.setup(seed)));
        }
        let mut results = results.lock().expect("no worker panics with the lock");
        results[index] = Some(sum);
    }
}

impl Cell {
    fn setup(&self, seed: u64) -> world::Setup {
        world::Setup {
            shape: self.shape.clone(),
            policy: self.policy.clone(),
            programs: self.shape.programs(self.load, END, seed),
            plain_load: self.load,
            seed,
            measure_from: MEASURE_FROM,
            last_arrival: LAST_ARRIVAL,
            end: END,
            script: self.scenario.script(),
        }
    }
}
