//! Speed of an upstream, from the factors that it states: how long work takes on its machine at
//! this moment, as a multiple of the usual time.
//!
//! *Load pattern:* some upstreams run on machines that are two to three times slower than the
//! others. Each shares its machine: for windows of some 600 ms, a sixth of the time, work takes
//! about two and a half times as long there. An entry among twenty sees an upstream about once a
//! second and hears from the others what they saw.
//!
//! *Without it:* slow and contended upstreams get as many calls as the others, while fast ones have
//! free slots. The time of a program that waits for several calls at once is that of the slowest.
//!
//! *Rule:* the upstream's own speed is the least factor that it stated lately, and its contention
//! is the newest factor relative to that. Contention loses half of its weight every
//! [`Options::half_life`]; the own speed stays until several statements over a longer time were
//! all higher. Until the own speed is confirmed it may be that of a contended machine, so the
//! upstream is soon treated as unknown again, which gets it another call. A statement is passed on
//! to other entries if it differs from what they expect: contention, its end, and the first one.
//!
//! *Grounds:* contention only lengthens work, so the least factor is the best estimate of the own
//! speed. [`Options`] gives the reason of each figure.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Factors that are believed, in percent. Beyond them a figure is more likely to mean something
/// else than a speed.
const BELIEVED_PERCENT: std::ops::RangeInclusive<u32> = 10..=10_000;
/// Factor of level 0 of a report.
const LEAST_FACTOR: f64 = 0.1;
/// Levels of a report per doubling of the factor. A level is 3 % wide, and the highest exceeds the
/// greatest believed factor.
const LEVELS_PER_DOUBLING: f64 = 24.0;
/// Unit of the age in a report: finer than the time that a report takes, and coarse enough for two
/// seconds in a byte.
const AGE_UNIT: Duration = Duration::from_millis(8);

/// Parameters of the estimate.
#[derive(Clone, Debug)]
pub struct Options {
    /// Age at which half of a stated contention is assumed to have ended: about half of a window.
    pub half_life: Duration,
    /// Ratio to the own speed from which an upstream counts as contended: above the rounding of
    /// reports, and well below the ratio of about 2.5 that contention has.
    pub contended_ratio: f64,
    /// Time between two equal statements that confirms them as the own speed: one window of
    /// contention.
    pub confirm_after: Duration,
    /// Time after which an unconfirmed own speed is discarded.
    pub unconfirmed_ttl: Duration,
    /// Time over which all statements must be higher before the own speed is raised: several
    /// windows of contention.
    pub raise_after: Duration,
    /// Number of statements needed for that. Four independent ones are all made under contention
    /// in one of a thousand cases.
    pub raise_statements: u32,
    /// Age up to which a statement is passed on: later, less than a sixth of a contention remains.
    pub report_ttl: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self::for_contention(Duration::from_millis(600))
    }
}

impl Options {
    /// Options for windows of contention that last about `window`.
    pub fn for_contention(window: Duration) -> Self {
        Self {
            half_life: window / 2,
            contended_ratio: 1.3,
            confirm_after: window,
            unconfirmed_ttl: window * 5 / 3,
            raise_after: window * 5,
            raise_statements: 4,
            report_ttl: window * 4 / 3,
        }
    }
}

/// The factor for a stated percentage; `None` if it is out of the believed range.
pub fn factor_of_percent(percent: u32) -> Option<f64> {
    BELIEVED_PERCENT
        .contains(&percent)
        .then(|| f64::from(percent) / 100.0)
}

/// Who received a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This entry.
    Own,
    /// Another entry, which passes on only what differs from the usual.
    Peer,
}

/// A factor that an upstream stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Statement {
    /// The factor; 1 is the usual time.
    pub factor: f64,
    /// When it was received.
    pub at: Duration,
}

/// A statement as passed on to other entries, in two bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    level: u8,
    age: u8,
}

impl Report {
    /// Encodes a factor that was stated `age` ago; `None` if it is too old.
    pub fn new(factor: f64, age: Duration) -> Option<Self> {
        let level = (factor / LEAST_FACTOR).log2() * LEVELS_PER_DOUBLING;
        Some(Self {
            level: level.round().clamp(0.0, f64::from(u8::MAX)) as u8,
            age: u8::try_from(age.as_millis() / AGE_UNIT.as_millis()).ok()?,
        })
    }

    /// The factor, to within 2 %.
    pub fn factor(self) -> f64 {
        LEAST_FACTOR * 2_f64.powf(f64::from(self.level) / LEVELS_PER_DOUBLING)
    }

    /// Its age when the report was sent.
    pub fn age(self) -> Duration {
        AGE_UNIT * u32::from(self.age)
    }

    /// The same statement after `elapsed`; `None` if it is then too old.
    pub fn aged(self, elapsed: Duration) -> Option<Self> {
        let age = self.age() + elapsed;
        Some(Self {
            age: u8::try_from(age.as_millis() / AGE_UNIT.as_millis()).ok()?,
            ..self
        })
    }
}

/// The expected speed of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
    /// Factor by which its work takes longer than usual.
    pub factor: f64,
    /// Age of the newest statement; `None` if the upstream counts as unknown.
    pub age: Option<Duration>,
}

/// Statements above the own speed since the last one at it.
#[derive(Clone, Copy, Debug)]
struct Higher {
    least: f64,
    count: u32,
    since: Duration,
}

/// What is known of one upstream's speed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Statements made before this are those of an earlier process.
    started_at: Duration,
    own: Option<f64>,
    first_at: Duration,
    is_confirmed: bool,
    newest: Option<Statement>,
    higher: Option<Higher>,
    /// The newest statement, if this entry received it and others should hear of it.
    news: Option<Statement>,
}

impl Speed {
    /// The state of an upstream that restarted at `now`.
    pub fn restarted(now: Duration) -> Self {
        Self {
            started_at: now,
            ..Self::default()
        }
    }

    /// Records a statement. One that is not newer than the last is ignored.
    pub fn record(&mut self, options: &Options, stated: Statement, source: Source) {
        if !self.is_newer(stated.at, source) {
            return;
        }
        let expected = self
            .own
            .map(|own| own * self.contention(options, stated.at));
        let is_lower = |expected| stated.factor * options.contended_ratio <= expected;
        let is_new = expected.is_none_or(is_lower);
        self.update_own(options, stated, source);
        self.newest = Some(stated);
        let is_news = is_new || self.is_contended(options, stated.at);
        self.news = (source == Source::Own && is_news).then_some(stated);
    }

    /// The expected speed at `now`; `None` if the upstream counts as unknown.
    pub fn expected(&self, options: &Options, now: Duration) -> Option<Expected> {
        let (own, newest) = (self.own?, self.newest?);
        let age = now.saturating_sub(newest.at);
        if !self.is_confirmed && age >= options.unconfirmed_ttl {
            return None;
        }
        Some(Expected {
            factor: own * self.contention(options, now),
            age: Some(age),
        })
    }

    /// The upstream's own speed, if it has stated any.
    pub fn own(&self) -> Option<f64> {
        self.own
    }

    /// Whether the upstream is expected to be contended at `now`.
    pub fn is_contended(&self, options: &Options, now: Duration) -> bool {
        self.contention(options, now) >= options.contended_ratio
    }

    /// The newest statement, if it should be passed on to other entries.
    pub fn report(&self, options: &Options, now: Duration) -> Option<Report> {
        let news = self.news?;
        let age = now.saturating_sub(news.at);
        if age >= options.report_ttl {
            return None;
        }
        Report::new(news.factor, age)
    }

    /// The same report arrives several times, with an age that is off by the unit of ages.
    fn is_newer(&self, at: Duration, source: Source) -> bool {
        let margin = match source {
            Source::Own => Duration::ZERO,
            Source::Peer => AGE_UNIT,
        };
        let known = self.newest.map(|newest| newest.at + margin);
        at >= self.started_at && known.is_none_or(|known| at >= known)
    }

    /// The expected ratio of the present factor to the own one.
    fn contention(&self, options: &Options, now: Duration) -> f64 {
        let (Some(own), Some(newest)) = (self.own, self.newest) else {
            return 1.0;
        };
        // The usual case: saves the power function for each candidate.
        if newest.factor <= own {
            return 1.0;
        }
        let age = now.saturating_sub(newest.at);
        let halvings = age.as_secs_f64() / options.half_life.as_secs_f64();
        1.0 + (newest.factor / own - 1.0) * 0.5_f64.powf(halvings)
    }

    fn update_own(&mut self, options: &Options, stated: Statement, source: Source) {
        let Some(own) = self.own else {
            self.own = Some(stated.factor);
            self.first_at = stated.at;
            return;
        };
        let is_higher = stated.factor >= own * options.contended_ratio;
        let is_lower = stated.factor * options.contended_ratio <= own;
        let apart = stated.at.saturating_sub(self.first_at);
        self.is_confirmed |= is_higher || is_lower || apart >= options.confirm_after;
        if !is_higher {
            self.own = Some(own.min(stated.factor));
            self.higher = None;
        } else if source == Source::Own {
            self.note_higher(options, stated);
        }
    }

    /// Counts a statement above the own speed, and raises that after enough of them.
    fn note_higher(&mut self, options: &Options, stated: Statement) {
        let higher = self.higher.get_or_insert(Higher {
            least: stated.factor,
            count: 0,
            since: stated.at,
        });
        higher.least = higher.least.min(stated.factor);
        higher.count += 1;
        let lasted = stated.at.saturating_sub(higher.since);
        if higher.count >= options.raise_statements && lasted >= options.raise_after {
            self.own = Some(higher.least);
            self.higher = None;
        }
    }
}
