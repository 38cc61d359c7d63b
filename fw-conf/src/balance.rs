//! Settings of load control on an entry of the users' platform: which parts are on, and their limits.

use std::time::Duration;

use crate::codec;
use crate::reader::Conflict;
use crate::schema;

/// When a part of load control is on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Where the deployment calls for it.
    #[default]
    Auto,
    /// Always.
    On,
    /// Never.
    Off,
}

impl Mode {
    /// Whether the part is on; `called_for` if the deployment calls for it.
    pub fn is_on(self, called_for: bool) -> bool {
        match self {
            Self::Auto => called_for,
            Self::On => true,
            Self::Off => false,
        }
    }
}

const SWITCH: &[(&str, bool)] = &[("on", true), ("off", false)];
const MODES: &[(&str, Mode)] = &[("auto", Mode::Auto), ("on", Mode::On), ("off", Mode::Off)];

schema::settings! {
    /// The settings file of load control.
    Settings {
        /// Index of cached prompt prefixes.
        prefix_cache: PrefixCache;
        /// Admission of programs.
        fair_admission: FairAdmission;
        /// Speed of upstreams.
        upstream_speed: UpstreamSpeed;
        /// Traffic between data centres.
        locality: Locality;
        /// Bytes held for callers.
        held_bytes: HeldBytes;
        /// Bytes held for requests.
        intake: Intake;
    }
}

schema::section! {
    /// Index of the prompt prefixes that engines have in their KV caches.
    PrefixCache in "prefix_cache" {
        /// Whether calls are placed by it. `auto`: if callers compete for the engines' memory.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Longest wait of a call for the engine that has its context while others have room.
        max_wait: Duration = Duration::from_millis(100),
            codec::time(Duration::ZERO..=Duration::from_millis(400));
        /// Weight of the contexts that engines evict for a prompt, relative to the prompt itself. At 0, calls
        /// go to the least busy engine sooner.
        eviction_weight: f64 = 1.0, codec::number(0.0..=4.0);
        /// Weight of a shared prefix that an engine lacks. At 0, programs are spread without regard to it.
        shared_prefix_weight: f64 = 0.3, codec::number(0.0..=1.0);
    }
}

schema::section! {
    /// Admission of programs by fair shares and by the time that they would take.
    FairAdmission in "fair_admission" {
        /// Whether programs are admitted so. `auto`: if callers compete for the engines' memory.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Calls a slot at which no program begins, however short the calls are.
        max_load: f64 = 1.2, codec::number(0.5..=4.0);
        /// Calls a slot up to which programs of usual urgency begin, however long the calls take.
        min_load: f64 = 0.55, codec::number(0.5..=4.0);
        /// Part of the delay which a program's due time allows up to which programs begin. With less, fewer
        /// are late and more are refused.
        due_margin: f64 = 0.6, codec::number(0.1..=1.0);
        /// Reduction of the limit for a team that uses twice its fair share or more.
        excess_reduction: f64 = 0.2, codec::number(0.0..=0.5);
        /// Longest time after which a refused caller is to return.
        retry_after_max: Duration = Duration::from_secs(1),
            codec::time(Duration::from_millis(200)..=Duration::from_secs(10));
    }
}

schema::section! {
    /// Speed and contention that upstreams state.
    UpstreamSpeed in "upstream_speed" {
        /// Whether calls are placed by it. `auto`: if upstreams share their machines.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Usual length of a window of contention. Half of it is the age at which a stated contention has
        /// lost half of its weight.
        contention: Duration = Duration::from_millis(600),
            codec::time(Duration::from_millis(50)..=Duration::from_secs(10));
        /// Whether a plain request that may be repeated and takes unusually long is also sent to another
        /// upstream, for up to 5 % of such requests.
        hedge_plain: bool = false, codec::choice(SWITCH);
    }
}

schema::section! {
    /// Traffic between data centres.
    Locality in "locality" {
        /// Whether it is reduced. `auto`: if upstreams share their machines.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Time that a call may lose for each KiB that stays in its data centre, while upstreams there have
        /// free slots.
        cost_per_kib: Duration = Duration::from_millis(4), codec::time(Duration::ZERO..=Duration::from_millis(100));
        /// How long the first replicas may take to store a turn before it is sent to the others.
        confirm_within: Duration = Duration::from_millis(30), codec::time(Duration::from_millis(5)..=Duration::from_millis(500));
    }
}

schema::section! {
    /// Bytes of answers that an entry holds for callers that read slowly.
    HeldBytes in "held_bytes" {
        /// Whether they are bounded. `auto`: if callers compete for the engines' memory.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Bytes held for all callers together. If there is no room for more, the answer of the slowest reader
        /// is ended.
        max_bytes: Option<usize> = None,
            codec::Optional { codec: codec::size(1 << 20..=1 << 40), absent: "a fifth of the instance's memory" };
    }
}

schema::section! {
    /// Bytes that an entry holds for requests under way: their bodies, tasks and calls to replicas.
    Intake in "intake" {
        /// Whether they are bounded. `auto`: if the deployment states the instance's memory.
        mode: Mode = Mode::Auto, codec::choice(MODES);
        /// Bytes held for all requests together. A request for which there is no room is refused at once.
        max_bytes: Option<usize> = None,
            codec::Optional { codec: codec::size(1 << 20..=1 << 40), absent: "a quarter of the instance's memory" };
        /// Part of these bytes from which on requests that begin programs are refused.
        begin_share: f64 = 0.5, codec::number(0.1..=1.0);
    }
}

impl Settings {
    fn conflicts(&self) -> Vec<Conflict> {
        let fair = &self.fair_admission;
        let check = Conflict {
            section: "fair_admission",
            key: "min_load",
            why: "must not exceed `max_load`",
        }
        .when(fair.min_load > fair.max_load);
        check.into_iter().collect()
    }
}
