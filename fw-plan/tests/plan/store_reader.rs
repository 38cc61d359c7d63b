//! Election of the entries that read the platform's store.

use std::time::Duration;

use fw_plan::reader::{self, Last, Options, Outcome};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time between two reads of an entry.
const READ_INTERVAL: Duration = ms(450);
/// Time from a read until all others have received it.
const PROPAGATION: Duration = ms(20);
/// Step of the simulation.
const STEP: Duration = ms(5);

struct Entry {
    takeover_timeout: Duration,
    is_reader: bool,
    next: Duration,
    alive: bool,
}

/// Entries that follow one store.
struct Simulation {
    rng: Pcg64,
    now: Duration,
    entries: Vec<Entry>,
    /// Time and reader of each read.
    reads: Vec<(Duration, u32)>,
}

impl Simulation {
    fn new(entries: usize, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let opts = Options::default();
        let entry = |_| Entry {
            takeover_timeout: opts.takeover_timeout(rng.random()),
            is_reader: false,
            next: ms(rng.random_range(0..300)),
            alive: true,
        };
        let entries = (0..entries).map(entry).collect();
        Self {
            rng,
            now: Duration::ZERO,
            entries,
            reads: Vec::new(),
        }
    }

    fn last(&self) -> Option<Last> {
        let mut received = self
            .reads
            .iter()
            .rev()
            .filter(|(at, _)| *at + PROPAGATION <= self.now);
        let (at, by) = received.next()?;
        Some(Last {
            by: *by,
            ago: self.now - *at,
        })
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for index in 0..self.entries.len() {
                self.step(index);
            }
            self.now += STEP;
        }
    }

    fn step(&mut self, index: usize) {
        let last = self.last();
        let (now, jitter) = (self.now, ms(self.rng.random_range(0..40)));
        let entry = &mut self.entries[index];
        if !entry.alive || entry.next > now {
            return;
        }
        match reader::decide(index as u32, entry.is_reader, entry.takeover_timeout, last) {
            Outcome::Read => {
                entry.is_reader = true;
                entry.next = now + READ_INTERVAL + jitter;
                self.reads.push((now, index as u32));
            }
            Outcome::Follow(time) => {
                entry.is_reader = false;
                entry.next = now + time;
            }
        }
    }

    /// Number of reads in the last `time`.
    fn rate(&self, time: Duration) -> usize {
        let recent = self.reads.iter().filter(|(at, _)| *at + time > self.now);
        recent.count()
    }
}

#[gtest]
fn one_of_a_hundred_reads() {
    for seed in 0..20 {
        let mut sim = Simulation::new(100, seed);
        sim.run(ms(10_000));
        let each_alone = 5_000 / READ_INTERVAL.as_millis() as usize;
        expect_that!(sim.rate(ms(5_000)), le(2 * each_alone), "seed {seed}");
    }
}

// Guards against a gap in updates when the reader dies, again and again. An instance that is
// leaving, or a route that was moved, has to be known everywhere within two seconds, so no entry
// may be without updates for longer.
#[gtest]
fn others_take_over_from_a_reader_that_dies() {
    for seed in 0..50 {
        let mut sim = Simulation::new(30, seed);
        sim.run(ms(3_000));
        for _ in 0..10 {
            let (_, by) = *sim.reads.last().unwrap();
            sim.entries[by as usize].alive = false;
            sim.run(ms(3_000));
        }
        let gaps = sim.reads.windows(2).map(|pair| pair[1].0 - pair[0].0);
        let longest = gaps.max().unwrap();
        expect_that!(longest + PROPAGATION, lt(ms(2_000)), "seed {seed}");
    }
}

#[gtest]
fn an_entry_without_recent_reports_reads() {
    expect_that!(reader::decide(7, false, ms(800), None), eq(Outcome::Read));
    let last = Last {
        by: 3,
        ago: ms(900),
    };
    expect_that!(
        reader::decide(7, false, ms(800), Some(last)),
        eq(Outcome::Read)
    );
}
