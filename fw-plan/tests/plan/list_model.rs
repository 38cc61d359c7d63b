//! Message-level model of how entries learn of upstreams that leave.
//!
//! Entries read the store, publish to replicas and receive from them, by the rules of [`reader`]
//! and [`confirm`]. Calls to the store hang, messages are delayed, machines are suspended,
//! processes are killed. The state of an entry is modelled by one time: the store's changes
//! acknowledged by then are included. A call that is sent while that is longer ago than the bound
//! may reach an upstream that has left.

use std::time::Duration;

use fw_plan::{confirm, reader};
use googletest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const BOUND: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const DURATION: Duration = Duration::from_secs(40);
const ENTRIES: usize = 4;
const REPLICAS: usize = 2;
/// Limits of the reading entry, as in `fw-follow`.
const READ_INTERVAL: Duration = Duration::from_millis(450);
const READ_RETRY_DELAY: Duration = Duration::from_millis(250);
const READ_TIMEOUT: Duration = Duration::from_millis(1_650);
/// Longest delay of a message to or from a replica.
const MAX_MESSAGE_DELAY: Duration = Duration::from_millis(700);
/// Shortest time between two calls of one entry that hang.
const MIN_HANG_INTERVAL: Duration = Duration::from_secs(3);

/// Part of the rule that is disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ablation {
    None,
    /// Calls are sent by a list of any age.
    Confirmation,
    /// A confirmation is dated by its arrival instead of the request of the read.
    RequestTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct Update {
    /// All changes that the store had acknowledged by then are included.
    includes_until: Duration,
    /// Time up to which that is confirmed.
    confirmed_at: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    requested_at: Duration,
    /// `None` if it hangs.
    answered_at: Option<Duration>,
}

#[derive(Debug)]
struct Entry {
    id: reader::EntryNumber,
    update: Update,
    freshness: confirm::ListFreshness,
    takeover_timeout: Duration,
    is_reader: bool,
    last: Option<(reader::EntryNumber, Duration)>,
    call: Option<Call>,
    next_read: Duration,
    last_hang: Option<Duration>,
    /// Time since which a call of a client waits.
    waiting_since: Option<Duration>,
    suspended_until: Duration,
    /// Messages of replicas, with their time of arrival.
    inbox: Vec<(Duration, Update, reader::EntryNumber)>,
}

impl Entry {
    fn new(rng: &mut impl Rng) -> Self {
        Self {
            id: rng.random(),
            update: Update::default(),
            freshness: confirm::ListFreshness::new(confirm::Options::for_bound(BOUND)),
            takeover_timeout: reader::Options::default().takeover_timeout(rng.random()),
            is_reader: false,
            last: None,
            call: None,
            next_read: Duration::ZERO,
            last_hang: None,
            waiting_since: None,
            suspended_until: Duration::ZERO,
            inbox: Vec::new(),
        }
    }

    fn apply(&mut self, ablation: Ablation, update: Update, now: Duration) {
        self.update.includes_until = self.update.includes_until.max(update.includes_until);
        let confirmed_at = match ablation {
            Ablation::RequestTime => now,
            _ => update.confirmed_at,
        };
        self.freshness.confirm(confirmed_at, now);
    }

    fn is_due(&mut self, now: Duration) -> bool {
        let wanted = self.freshness.age(now).is_some() && self.freshness.needs_refresh(now);
        let last = self.last.map(|(by, at)| reader::Last {
            by,
            ago: now.saturating_sub(at),
        });
        let outcome = reader::decide(self.id, self.is_reader, self.takeover_timeout, last);
        self.is_reader = outcome == reader::Outcome::Read;
        wanted || (self.is_reader && now >= self.next_read)
    }
}

struct World {
    rng: Pcg64,
    ablation: Ablation,
    now: Duration,
    entries: Vec<Entry>,
    replicas: Vec<Option<Update>>,
    /// Publications in flight.
    publications: Vec<(Duration, usize, Update, reader::EntryNumber)>,
    max_age: Duration,
}

impl World {
    fn new(seed: u64, ablation: Ablation) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        Self {
            entries: (0..ENTRIES).map(|_| Entry::new(&mut rng)).collect(),
            replicas: vec![Some(Update::default()); REPLICAS],
            publications: Vec::new(),
            max_age: Duration::ZERO,
            now: Duration::from_secs(1),
            ablation,
            rng,
        }
    }

    fn occurs_every(&mut self, time: Duration) -> bool {
        let steps = time.as_millis() / STEP.as_millis();
        self.rng.random_range(0..steps as u64) == 0
    }

    fn random_up_to(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }

    /// Latency of a message.
    fn latency(&mut self) -> Duration {
        match self.rng.random_range(0..10) {
            0 => STEP + self.random_up_to(MAX_MESSAGE_DELAY),
            _ => STEP,
        }
    }

    fn run(mut self) -> Duration {
        while self.now < DURATION {
            self.now += STEP;
            self.inject_faults();
            self.deliver_publications();
            for at in 0..ENTRIES {
                if self.now >= self.entries[at].suspended_until {
                    self.step(at);
                }
            }
        }
        self.max_age
    }

    fn inject_faults(&mut self) {
        let at = self.rng.random_range(0..ENTRIES);
        if self.occurs_every(Duration::from_secs(4)) {
            let time = self.random_up_to(Duration::from_secs(5));
            self.entries[at].suspended_until = self.now + time;
        }
        if self.occurs_every(Duration::from_secs(10)) {
            self.entries[at] = Entry::new(&mut self.rng);
        }
        if self.occurs_every(Duration::from_secs(3)) {
            let at = self.rng.random_range(0..REPLICAS);
            let back = Some(Update::default());
            self.replicas[at] = self.replicas[at].map_or(back, |_| None);
        }
    }

    fn deliver_publications(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.publications)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.publications = rest;
        for (_, at, update, by) in due {
            let Some(state) = &mut self.replicas[at] else {
                continue;
            };
            state.includes_until = state.includes_until.max(update.includes_until);
            state.confirmed_at = state.confirmed_at.max(update.confirmed_at);
            let current = *state;
            for entry in 0..ENTRIES {
                let arrives = now + self.latency();
                self.entries[entry].inbox.push((arrives, current, by));
            }
        }
    }

    fn step(&mut self, at: usize) {
        self.receive(at);
        self.end_call(at);
        self.begin_call(at);
        self.send(at);
    }

    fn receive(&mut self, at: usize) {
        let (now, ablation) = (self.now, self.ablation);
        let entry = &mut self.entries[at];
        let (due, rest) = std::mem::take(&mut entry.inbox)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        entry.inbox = rest;
        for (_, update, by) in due {
            entry.apply(ablation, update, now);
            entry.last = Some((by, now));
        }
    }

    fn end_call(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let Some(call) = entry.call else { return };
        let wanted = entry.freshness.age(now).is_some() && entry.freshness.needs_refresh(now);
        if let Some(answered_at) = call.answered_at.filter(|at| *at <= now) {
            entry.call = None;
            entry.next_read = call.requested_at + READ_INTERVAL;
            entry.last = Some((entry.id, now));
            let update = Update {
                includes_until: answered_at,
                confirmed_at: call.requested_at,
            };
            let by = entry.id;
            entry.apply(self.ablation, update, now);
            for replica in 0..REPLICAS {
                let arrives = now + self.latency();
                self.publications.push((arrives, replica, update, by));
            }
        } else if now >= call.requested_at + READ_TIMEOUT {
            entry.call = None;
            entry.freshness.read_failed(call.requested_at, now);
            entry.next_read = now + Duration::from_millis(250);
        } else if wanted && now >= call.requested_at + READ_RETRY_DELAY {
            entry.call = None;
            entry.freshness.read_unanswered(call.requested_at, now);
        }
    }

    fn begin_call(&mut self, at: usize) {
        let now = self.now;
        if self.entries[at].call.is_some() || !self.entries[at].is_due(now) {
            return;
        }
        let may_hang = self.entries[at]
            .last_hang
            .is_none_or(|at| now >= at + MIN_HANG_INTERVAL);
        let hangs = may_hang && self.rng.random_bool(0.2);
        let takes = STEP + self.random_up_to(Duration::from_millis(100));
        let entry = &mut self.entries[at];
        if hangs {
            entry.last_hang = Some(now);
        }
        entry.call = Some(Call {
            requested_at: now,
            answered_at: (!hangs).then_some(now + takes),
        });
    }

    /// Sends a call if that is allowed.
    fn send(&mut self, at: usize) {
        let (now, ablation) = (self.now, self.ablation);
        let entry = &mut self.entries[at];
        if entry.freshness.age(now).is_none() {
            return;
        }
        match entry.freshness.decide(now) {
            confirm::Outcome::Wait(wait) if ablation != Ablation::Confirmation => {
                let since = *entry.waiting_since.get_or_insert(now);
                if now >= since + wait {
                    entry.freshness.wait_expired(now - since, now);
                    entry.waiting_since = None;
                }
            }
            _ => {
                entry.waiting_since = None;
                self.max_age = self
                    .max_age
                    .max(now.saturating_sub(entry.update.includes_until));
            }
        }
    }
}

/// Greatest age of the list by which a call is sent, over some seeds.
fn max_list_age(ablation: Ablation) -> Duration {
    let max_age = (0..40).map(|seed| World::new(seed, ablation).run());
    max_age.max().unwrap()
}

// Guards against calls sent by a list older than the bound, through one delay or two in a row.
#[gtest]
fn calls_use_a_list_within_the_bound() {
    expect_that!(max_list_age(Ablation::None), le(BOUND));
}

// Guards against a model that cannot detect a fault.
#[gtest]
fn removing_a_part_of_the_rule_breaks_the_bound() {
    expect_that!(max_list_age(Ablation::Confirmation), gt(BOUND));
    expect_that!(max_list_age(Ablation::RequestTime), gt(BOUND));
}
