//! The policies that are compared: the product's, and the baselines.

use fw_plan::admit;
use fw_plan::cache_retention;
use fw_plan::place;
use fw_plan::queue;
use fw_plan::retry;

use super::trace;

/// Name of the product's policy.
pub const PRODUCT: &str = "foxtailweir";
/// Name of the one that differs from it in retries only.
pub const NO_BUDGET: &str = "no retry budget";

/// Where work goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Random,
    RoundRobin,
    /// Fewest calls outstanding, as each entry counts them.
    Fewest,
    /// Always to the cache; without one, fewest outstanding.
    CacheOnly,
    /// `place::choose`, without telling it of caches.
    Blind,
    /// `place::choose`.
    Delay,
}

/// A policy.
#[derive(Clone, Debug)]
pub struct Policy {
    pub name: &'static str,
    pub place: Place,
    /// `admit` at the entries and `queue` at the sides; else the engine takes all as they come.
    pub ordered: bool,
    /// `retry::Budget`; else failed attempts are sent again at once, up to ten times.
    pub budget: bool,
    /// `keep` and release of caches whose programs ended.
    pub keep: bool,
    pub admit: admit::Options,
    pub queue: queue::Options,
    pub choose: place::Options,
    pub retry: retry::Options,
    pub caches: cache_retention::Options,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            name: PRODUCT,
            place: Place::Delay,
            ordered: true,
            budget: true,
            keep: true,
            admit: admit::Options::default(),
            queue: queue::Options::default(),
            choose: place::Options::default(),
            retry: retry::Options::default(),
            caches: cache_retention::Options::default(),
        }
    }
}

impl Policy {
    fn bare(name: &'static str, place: Place) -> Self {
        Self {
            name,
            place,
            ordered: false,
            budget: true,
            keep: false,
            ..Self::default()
        }
    }

    /// The product's policy with what the user's records would set.
    pub fn of(shape: &trace::Shape) -> Self {
        Self {
            caches: cache_retention::Options {
                weight: shape.weight,
                ..cache_retention::Options::default()
            },
            ..Self::default()
        }
    }

    /// The product's policy and its baselines, in the order of the table.
    pub fn all(shape: &trace::Shape) -> Vec<Self> {
        vec![
            Self::of(shape),
            Self::bare("random", Place::Random),
            Self::bare("round robin", Place::RoundRobin),
            Self::bare("fewest outstanding, FCFS", Place::Fewest),
            Self::bare("cache-only, FCFS", Place::CacheOnly),
            Self {
                name: "cache-blind",
                place: Place::Blind,
                ..Self::of(shape)
            },
            Self {
                name: NO_BUDGET,
                budget: false,
                ..Self::of(shape)
            },
        ]
    }
}
