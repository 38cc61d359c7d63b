//! A model of how entries learn of upstreams that leave, message by message.
//!
//! Entries read the store, post to replicas and hear from them, by the rules of [`reader`] and [`confirm`].
//! Calls to the store hang, messages are held up, machines stand still, processes are killed. What an entry
//! knows is told by one time: all that the store had acknowledged by then. A call that is sent while that is
//! longer ago than the bound may reach an upstream that has left.

use std::time::Duration;

use fw_plan::{confirm, reader};
use googletest::prelude::*;
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64;

const BOUND: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(40);
const ENTRIES: usize = 4;
const REPLICAS: usize = 2;
/// Limits of the reading entry, as in `fw-follow`.
const PACE: Duration = Duration::from_millis(450);
const LATE: Duration = Duration::from_millis(250);
const CLIENT: Duration = Duration::from_millis(1_650);
/// Longest that a message to or from a replica is held up.
const HELD: Duration = Duration::from_millis(700);
/// Shortest time between two calls of one entry that hang.
const HANGS_APART: Duration = Duration::from_secs(3);

/// What is left out of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Calls are sent by a list of any age.
    Confirm,
    /// A proof is as old as its arrival, not as the question.
    AgeOfProof,
}

#[derive(Clone, Copy, Debug, Default)]
struct News {
    /// All that the store had acknowledged by then is contained.
    content: Duration,
    /// From when on that is proven.
    proven: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    asked: Duration,
    /// `None` if it hangs.
    answered: Option<Duration>,
}

#[derive(Debug)]
struct Entry {
    id: reader::EntryNumber,
    news: News,
    known: confirm::ListFreshness,
    patience: Duration,
    reads: bool,
    last: Option<(reader::EntryNumber, Duration)>,
    call: Option<Call>,
    next_read: Duration,
    hung: Option<Duration>,
    /// When a call of a client began to wait.
    waits: Option<Duration>,
    still_until: Duration,
    /// What replicas have sent, and when it arrives.
    inbox: Vec<(Duration, News, reader::EntryNumber)>,
}

impl Entry {
    fn new(rng: &mut impl Rng) -> Self {
        Self {
            id: rng.random(),
            news: News::default(),
            known: confirm::ListFreshness::new(confirm::Options::for_bound(BOUND)),
            patience: reader::Options::default().takeover_timeout(rng.random()),
            reads: false,
            last: None,
            call: None,
            next_read: Duration::ZERO,
            hung: None,
            waits: None,
            still_until: Duration::ZERO,
            inbox: Vec::new(),
        }
    }

    fn take(&mut self, without: Without, news: News, now: Duration) {
        self.news.content = self.news.content.max(news.content);
        let proven = match without {
            Without::AgeOfProof => now,
            _ => news.proven,
        };
        self.known.confirm(proven, now);
    }

    fn is_due(&mut self, now: Duration) -> bool {
        let wanted = self.known.age(now).is_some() && self.known.needs_refresh(now);
        let last = self.last.map(|(by, at)| reader::Last {
            by,
            ago: now.saturating_sub(at),
        });
        let outcome = reader::decide(self.id, self.reads, self.patience, last);
        self.reads = outcome == reader::Outcome::Read;
        wanted || (self.reads && now >= self.next_read)
    }
}

struct World {
    rng: Pcg64,
    without: Without,
    now: Duration,
    entries: Vec<Entry>,
    replicas: Vec<Option<News>>,
    /// Posts on their way.
    posts: Vec<(Duration, usize, News, reader::EntryNumber)>,
    worst: Duration,
}

impl World {
    fn new(seed: u64, without: Without) -> Self {
        let mut rng = Pcg64::seed_from_u64(seed);
        Self {
            entries: (0..ENTRIES).map(|_| Entry::new(&mut rng)).collect(),
            replicas: vec![Some(News::default()); REPLICAS],
            posts: Vec::new(),
            worst: Duration::ZERO,
            now: Duration::from_secs(1),
            without,
            rng,
        }
    }

    fn happens_every(&mut self, time: Duration) -> bool {
        let steps = time.as_millis() / STEP.as_millis();
        self.rng.random_range(0..steps as u64) == 0
    }

    fn up_to(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random())
    }

    /// Time that a message takes.
    fn way(&mut self) -> Duration {
        match self.rng.random_range(0..10) {
            0 => STEP + self.up_to(HELD),
            _ => STEP,
        }
    }

    fn play(mut self) -> Duration {
        while self.now < LENGTH {
            self.now += STEP;
            self.break_things();
            self.deliver_posts();
            for at in 0..ENTRIES {
                if self.now >= self.entries[at].still_until {
                    self.step(at);
                }
            }
        }
        self.worst
    }

    fn break_things(&mut self) {
        let at = self.rng.random_range(0..ENTRIES);
        if self.happens_every(Duration::from_secs(4)) {
            let time = self.up_to(Duration::from_secs(5));
            self.entries[at].still_until = self.now + time;
        }
        if self.happens_every(Duration::from_secs(10)) {
            self.entries[at] = Entry::new(&mut self.rng);
        }
        if self.happens_every(Duration::from_secs(3)) {
            let at = self.rng.random_range(0..REPLICAS);
            let back = Some(News::default());
            self.replicas[at] = self.replicas[at].map_or(back, |_| None);
        }
    }

    fn deliver_posts(&mut self) {
        let now = self.now;
        let (due, rest) = std::mem::take(&mut self.posts)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        self.posts = rest;
        for (_, at, news, by) in due {
            let Some(known) = &mut self.replicas[at] else {
                continue;
            };
            known.content = known.content.max(news.content);
            known.proven = known.proven.max(news.proven);
            let told = *known;
            for entry in 0..ENTRIES {
                let arrives = now + self.way();
                self.entries[entry].inbox.push((arrives, told, by));
            }
        }
    }

    fn step(&mut self, at: usize) {
        self.hear(at);
        self.end_call(at);
        self.begin_call(at);
        self.send(at);
    }

    fn hear(&mut self, at: usize) {
        let (now, without) = (self.now, self.without);
        let entry = &mut self.entries[at];
        let (due, rest) = std::mem::take(&mut entry.inbox)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= now);
        entry.inbox = rest;
        for (_, news, by) in due {
            entry.take(without, news, now);
            entry.last = Some((by, now));
        }
    }

    fn end_call(&mut self, at: usize) {
        let now = self.now;
        let entry = &mut self.entries[at];
        let Some(call) = entry.call else { return };
        let wanted = entry.known.age(now).is_some() && entry.known.needs_refresh(now);
        if let Some(answered) = call.answered.filter(|at| *at <= now) {
            entry.call = None;
            entry.next_read = call.asked + PACE;
            entry.last = Some((entry.id, now));
            let news = News {
                content: answered,
                proven: call.asked,
            };
            let by = entry.id;
            entry.take(self.without, news, now);
            for replica in 0..REPLICAS {
                let arrives = now + self.way();
                self.posts.push((arrives, replica, news, by));
            }
        } else if now >= call.asked + CLIENT {
            entry.call = None;
            entry.known.read_failed(call.asked, now);
            entry.next_read = now + Duration::from_millis(250);
        } else if wanted && now >= call.asked + LATE {
            entry.call = None;
            entry.known.read_unanswered(call.asked, now);
        }
    }

    fn begin_call(&mut self, at: usize) {
        let now = self.now;
        if self.entries[at].call.is_some() || !self.entries[at].is_due(now) {
            return;
        }
        let may_hang = self.entries[at]
            .hung
            .is_none_or(|at| now >= at + HANGS_APART);
        let hangs = may_hang && self.rng.random_bool(0.2);
        let takes = STEP + self.up_to(Duration::from_millis(100));
        let entry = &mut self.entries[at];
        if hangs {
            entry.hung = Some(now);
        }
        entry.call = Some(Call {
            asked: now,
            answered: (!hangs).then_some(now + takes),
        });
    }

    /// Sends a call if one may be sent.
    fn send(&mut self, at: usize) {
        let (now, without) = (self.now, self.without);
        let entry = &mut self.entries[at];
        if entry.known.age(now).is_none() {
            return;
        }
        match entry.known.decide(now) {
            confirm::Outcome::Wait(wait) if without != Without::Confirm => {
                let since = *entry.waits.get_or_insert(now);
                if now >= since + wait {
                    entry.known.wait_expired(now - since, now);
                    entry.waits = None;
                }
            }
            _ => {
                entry.waits = None;
                self.worst = self.worst.max(now.saturating_sub(entry.news.content));
            }
        }
    }
}

/// The oldest list by which a call is sent, over some seeds.
fn oldest(without: Without) -> Duration {
    let worst = (0..40).map(|seed| World::new(seed, without).play());
    worst.max().unwrap()
}

// Guards against a delay, or two in a row, through which calls are sent by a list older than the bound.
#[gtest]
fn calls_go_by_a_list_within_the_bound() {
    expect_that!(oldest(Without::Nothing), le(BOUND));
}

// Guards against a model that would find no fault.
#[gtest]
fn without_a_part_of_the_rule_they_do_not() {
    expect_that!(oldest(Without::Confirm), gt(BOUND));
    expect_that!(oldest(Without::AgeOfProof), gt(BOUND));
}
