//! Which parts of load control are on.
//!
//! A part is on where the operator's settings say so or, by default, where the deployment calls for it.
//! Elsewhere calls are placed, admitted and refused without it.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub use fw_conf::balance::Mode;
use fw_plan::{begin, intake, prefix, speed, spill};
use fw_replica::client;

/// Limits of the reduction of traffic between data centres.
#[derive(Clone, Copy, Debug)]
pub struct LocalityLimits {
    /// Time that a call may lose for each KiB that stays in its data centre.
    pub cost_per_kib: Duration,
    /// How long the first replicas may take to store a turn before it is sent to the others.
    pub confirm_within: Duration,
}

impl Default for LocalityLimits {
    fn default() -> Self {
        Self {
            cost_per_kib: spill::Options::default().cost_per_kib,
            confirm_within: client::Locality::default().confirm_within,
        }
    }
}

/// The operator's choice for each part, and what the deployment states of itself.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Placement by the index of cached prompt prefixes.
    pub prefix_cache: Mode,
    /// Weights and limits of that placement.
    pub prefix_options: prefix::Options,
    /// Admission by fair shares and feasibility.
    pub fair_admission: Mode,
    /// Limits of that admission.
    pub begin: begin::Options,
    /// Placement by the speed that upstreams state.
    pub upstream_speed: Mode,
    /// Usual length of a window of contention, if it is known.
    pub contention: Option<Duration>,
    /// Whether slow plain requests are sent to a second upstream while placement by speed is on.
    pub hedge_plain: bool,
    /// Reduction of traffic between data centres.
    pub locality: Mode,
    /// Bound on the bytes held for callers that read slowly.
    pub held_bytes: Mode,
    /// The bound; `None` for a part of the instance's memory.
    pub max_held_bytes: Option<usize>,
    /// Bound on the bytes held for requests.
    pub intake: Mode,
    /// That bound; `None` for a part of the instance's memory.
    pub max_intake_bytes: Option<usize>,
    /// Part of that bound from which on requests that begin programs are refused; `None` for the default.
    pub intake_begin_share: Option<f64>,
    /// Limits of the reduction of traffic between data centres.
    pub locality_limits: LocalityLimits,
    /// Memory of the instance in bytes, if the deployment states it.
    pub instance_memory: Option<u64>,
    /// Whether callers compete for the engines' memory.
    pub memory_pressure: bool,
}

impl Options {
    /// The bound on the bytes held for requests, if they are bounded.
    pub fn intake(&self) -> Option<intake::Options> {
        if !self.intake.is_on(self.instance_memory.is_some()) {
            return None;
        }
        let memory = self.instance_memory;
        let limits = memory.map_or_else(intake::Options::default, intake::Options::for_memory);
        Some(intake::Options {
            max_bytes: self.max_intake_bytes.unwrap_or(limits.max_bytes),
            begin_share: self.intake_begin_share.unwrap_or(limits.begin_share),
            ..limits
        })
    }
}

/// The parts that are on at present.
#[derive(Debug, Default)]
pub struct Features {
    opts: Options,
    /// Whether an upstream has stated how busy its machine is, as only those on shared machines do.
    shared_machines: AtomicBool,
}

impl Features {
    /// Creates the switches; no upstream has stated its contention yet.
    pub fn new(opts: Options) -> Self {
        tracing::info!(?opts, "parts of load control");
        Self {
            opts,
            shared_machines: AtomicBool::new(false),
        }
    }

    /// Records that an upstream has stated its contention.
    pub fn note_contention(&self) {
        if !self.shared_machines.swap(true, Ordering::Relaxed) {
            tracing::info!("upstreams share their machines; placement takes it into account");
        }
    }

    /// Whether calls are placed by the index of cached prompt prefixes.
    pub fn prefix_cache(&self) -> bool {
        self.opts.prefix_cache.is_on(self.opts.memory_pressure)
    }

    /// Weights and limits of placement by the index of cached prompt prefixes.
    pub fn prefix_options(&self) -> &prefix::Options {
        &self.opts.prefix_options
    }

    /// Whether programs are admitted by fair shares and feasibility.
    pub fn fair_admission(&self) -> bool {
        self.opts.fair_admission.is_on(self.opts.memory_pressure)
    }

    /// Limits of the admission of programs by fair shares and feasibility.
    pub fn begin_options(&self) -> &begin::Options {
        &self.opts.begin
    }

    /// Whether calls are placed by the speed that upstreams state.
    pub fn upstream_speed(&self) -> bool {
        self.opts.upstream_speed.is_on(self.has_shared_machines())
    }

    /// Whether slow plain requests are sent to a second upstream.
    pub fn hedge_plain(&self) -> bool {
        self.opts.hedge_plain && self.upstream_speed()
    }

    /// How the speed of upstreams is estimated.
    pub fn speed_options(&self) -> speed::Options {
        let window = self.opts.contention;
        window.map_or_else(speed::Options::default, speed::Options::for_contention)
    }

    /// Whether traffic between data centres is reduced.
    pub fn locality(&self) -> bool {
        self.opts.locality.is_on(self.has_shared_machines())
    }

    /// Whether the bytes held for callers are bounded.
    pub fn held_bytes(&self) -> bool {
        self.opts.held_bytes.is_on(self.opts.memory_pressure)
    }

    /// When calls go to other data centres, if traffic between them is reduced.
    pub fn spill(&self) -> Option<spill::Options> {
        self.locality().then(|| spill::Options {
            cost_per_kib: self.opts.locality_limits.cost_per_kib,
            ..spill::Options::default()
        })
    }

    /// How turns are stored, if traffic between data centres is reduced.
    pub fn stored_turns(&self) -> Option<client::Locality> {
        self.locality().then_some(client::Locality {
            confirm_within: self.opts.locality_limits.confirm_within,
        })
    }

    fn has_shared_machines(&self) -> bool {
        self.shared_machines.load(Ordering::Relaxed)
    }
}
