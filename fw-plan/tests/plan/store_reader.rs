//! Who reads the platform's store.

use std::time::Duration;

use fw_plan::reader::{self, Last, Options, Outcome};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Time between two reads of an entry.
const PACE: Duration = ms(450);
/// Time from a read until all others have heard of it.
const HEARD: Duration = ms(20);
/// One step of the play.
const STEP: Duration = ms(5);

struct Entry {
    patience: Duration,
    reads: bool,
    next: Duration,
    alive: bool,
}

/// Entries that follow one store.
struct Play {
    rng: Pcg64,
    now: Duration,
    entries: Vec<Entry>,
    /// Reads, and who made them.
    reads: Vec<(Duration, u32)>,
}

impl Play {
    fn new(entries: usize, seed: u64) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        let opts = Options::default();
        let entry = |_| Entry {
            patience: opts.takeover_timeout(rng.random()),
            reads: false,
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
        let mut heard = self
            .reads
            .iter()
            .rev()
            .filter(|(at, _)| *at + HEARD <= self.now);
        let (at, by) = heard.next()?;
        Some(Last {
            by: *by,
            ago: self.now - *at,
        })
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for me in 0..self.entries.len() {
                self.step(me);
            }
            self.now += STEP;
        }
    }

    fn step(&mut self, me: usize) {
        let last = self.last();
        let (now, jitter) = (self.now, ms(self.rng.random_range(0..40)));
        let entry = &mut self.entries[me];
        if !entry.alive || entry.next > now {
            return;
        }
        match reader::decide(me as u32, entry.reads, entry.patience, last) {
            Outcome::Read => {
                entry.reads = true;
                entry.next = now + PACE + jitter;
                self.reads.push((now, me as u32));
            }
            Outcome::Follow(time) => {
                entry.reads = false;
                entry.next = now + time;
            }
        }
    }

    /// Reads in the last `time`.
    fn rate(&self, time: Duration) -> usize {
        let recent = self.reads.iter().filter(|(at, _)| *at + time > self.now);
        recent.count()
    }
}

#[gtest]
fn one_of_a_hundred_reads() {
    for seed in 0..20 {
        let mut play = Play::new(100, seed);
        play.run(ms(10_000));
        let each_alone = 5_000 / PACE.as_millis() as usize;
        expect_that!(play.rate(ms(5_000)), le(2 * each_alone), "seed {seed}");
    }
}

// The entry that reads for all dies, again and again. A worker that is leaving, or a route that was
// moved, has to be known everywhere within two seconds: nobody may go without news for longer.
#[gtest]
fn others_take_over_from_a_reader_that_dies() {
    for seed in 0..50 {
        let mut play = Play::new(30, seed);
        play.run(ms(3_000));
        for _ in 0..10 {
            let (_, by) = *play.reads.last().unwrap();
            play.entries[by as usize].alive = false;
            play.run(ms(3_000));
        }
        let gaps = play.reads.windows(2).map(|pair| pair[1].0 - pair[0].0);
        let longest = gaps.max().unwrap();
        expect_that!(longest + HEARD, lt(ms(2_000)), "seed {seed}");
    }
}

#[gtest]
fn an_entry_that_hears_nobody_reads() {
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
