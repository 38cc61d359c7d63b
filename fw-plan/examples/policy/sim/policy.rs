//! The policies that are compared: the product's and its baselines.

use fw_plan::admit;
use fw_plan::cache_retention;
use fw_plan::place;
use fw_plan::queue;
use fw_plan::retry;

use super::trace;

/// Name of the product's policy.
pub const PRODUCT: &str = "foxtailweir";
/// Name of the baseline that differs from it in retries only.
pub const NO_BUDGET: &str = "no retry budget";

/// How upstreams are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Random,
    RoundRobin,
    /// The one with the fewest outstanding calls, as each entry counts its own.
    Fewest,
    /// Always the one with the cache; without a cache, the one with the fewest outstanding calls.
    CacheOnly,
    /// `place::choose` without information about caches.
    CacheBlind,
    /// `place::choose`.
    Delay,
}

/// A policy.
#[derive(Clone, Debug)]
pub struct Policy {
    pub name: &'static str,
    pub placement: Place,
    /// Whether `admit` runs at the entries and `queue` at the sides; otherwise the engines take
    /// everything in order of arrival.
    pub has_admission: bool,
    /// Whether `retry::Budget` limits retries; otherwise failed attempts are repeated at once, up
    /// to ten times.
    pub has_retry_budget: bool,
    /// Whether `cache_retention` frees caches, and caches of ended programs are released.
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

    /// The product's policy with the settings of the user's records.
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
