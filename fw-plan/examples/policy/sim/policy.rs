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
    CacheBlind,
    /// `place::choose`.
    Delay,
}

/// A policy.
#[derive(Clone, Debug)]
pub struct Policy {
    pub name: &'static str,
    pub placement: Place,
    /// `admit` at the entries and `queue` at the sides; else the engine takes all as they come.
    pub has_admission: bool,
    /// `retry::Budget`; else failed attempts are sent again at once, up to ten times.
    pub has_retry_budget: bool,
    /// `keep` and release of caches whose programs ended.
    pub frees_caches: bool,
    pub admit: admit::Options,
    pub queue: queue::Options,
    pub choose: place::Options,
    pub retry: retry::Options,
    pub retention: cache_retention::Options,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            name: PRODUCT,
            placement: Place::Delay,
            has_admission: true,
            has_retry_budget: true,
            frees_caches: true,
            admit: admit::Options::default(),
            queue: queue::Options::default(),
            choose: place::Options::default(),
            retry: retry::Options::default(),
            retention: cache_retention::Options::default(),
        }
    }
}

impl Policy {
    fn baseline(name: &'static str, placement: Place) -> Self {
        Self {
            name,
            placement,
            has_admission: false,
            has_retry_budget: true,
            frees_caches: false,
            ..Self::default()
        }
    }

    /// The product's policy with what the user's records would set.
    pub fn product(shape: &trace::Shape) -> Self {
        Self {
            retention: cache_retention::Options {
                weight: shape.weight,
                ..cache_retention::Options::default()
            },
            ..Self::default()
        }
    }

    /// The product's policy and its baselines, in the order of the table.
    pub fn all(shape: &trace::Shape) -> Vec<Self> {
        vec![
            Self::product(shape),
            Self::baseline("random", Place::Random),
            Self::baseline("round robin", Place::RoundRobin),
            Self::baseline("fewest outstanding, FCFS", Place::Fewest),
            Self::baseline("cache-only, FCFS", Place::CacheOnly),
            Self {
                name: "cache-blind",
                placement: Place::CacheBlind,
                ..Self::product(shape)
            },
            Self {
                name: NO_BUDGET,
                has_retry_budget: false,
                ..Self::product(shape)
            },
        ]
    }
}
