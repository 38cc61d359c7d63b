//! Cached state of the upstreams of one service.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::id;

use super::Load;
use super::Options;
use crate::ewma;

/// Index of an upstream in its view.
pub(super) type UpstreamIndex = u32;

/// Index of a place in its view.
pub(super) type PlaceIndex = u32;

/// Work sent to an upstream that its last report does not include.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    at: Duration,
    tokens: id::Tokens,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: id::UpstreamId,
    pub(super) place: PlaceIndex,
    pub(super) load: Load,
    /// 0 for unusable, 1 for fully usable, in between during slow start.
    pub(super) weight: f64,
    /// Position in the list of usable upstreams.
    usable_position: Option<usize>,
    pub(super) models: Vec<id::ModelId>,
    /// In order of time.
    sent: VecDeque<Sent>,
    pub(super) sent_tokens: id::Tokens,
    /// Calls sent by this process that have not finished.
    outstanding: u32,
    /// Attempts sent there by other processes, smoothed over reports; `None` before the first
    /// report.
    others_load: Option<f64>,
}

/// A cached prefix of a program.
#[derive(Clone, Copy, Debug)]
pub(super) struct CachedPrefix {
    pub(super) upstream: UpstreamIndex,
    pub(super) tokens: id::Tokens,
}

/// Cached state of the upstreams of one service.
#[derive(Debug)]
pub struct View {
    pub(super) upstreams: Vec<Upstream>,
    indices: HashMap<id::UpstreamId, UpstreamIndex>,
    free_indices: Vec<UpstreamIndex>,
    pub(super) usable: Vec<UpstreamIndex>,
    pub(super) models: HashMap<id::ModelId, Vec<UpstreamIndex>>,
    pub(super) caches: HashMap<id::ProgramId, Vec<CachedPrefix>>,
    places: HashMap<id::PlaceId, PlaceIndex>,
    distances: HashMap<(PlaceIndex, PlaceIndex), Duration>,
    /// Engine time of one turn, smoothed, in seconds.
    pub(super) turn_time: f64,
}

/// Upstreams recorded per program as holding its cache.
const MAX_HOLDERS: usize = 4;
/// Engine time of a turn before the first measurement, in seconds.
const DEFAULT_TURN_TIME: f64 = 0.5;
/// Weight of the newest sample in smoothed times.
const SMOOTHING: f64 = 0.05;
/// Weight of the newest report in the smoothed load from other processes.
const REPORT_SMOOTHING: f64 = 0.3;
/// Prefill rate before an upstream reports its own, in tokens per second.
const DEFAULT_PREFILL_RATE: u64 = 20_000;
/// Step time before an upstream reports its own.
const DEFAULT_STEP: Duration = Duration::from_micros(2_500);
/// Batch size of an engine that does not report one.
const DEFAULT_BATCH: u32 = 32;
/// Work sent longer ago than this is included in a report or was lost.
const MAX_SENT_AGE: Duration = Duration::from_secs(5);

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    /// Creates a view without upstreams.
    pub fn new() -> Self {
        Self {
            upstreams: Vec::new(),
            indices: HashMap::new(),
            free_indices: Vec::new(),
            usable: Vec::new(),
            models: HashMap::new(),
            caches: HashMap::new(),
            places: HashMap::new(),
            distances: HashMap::new(),
            turn_time: DEFAULT_TURN_TIME,
        }
    }

    /// Adds an upstream, usable at once. If it is in the view already, only its place is updated.
    pub fn add(&mut self, upstream: &id::UpstreamId, place: &id::PlaceId) {
        if let Some(index) = self.index(upstream) {
            self.upstreams[index].place = self.intern(place);
            return;
        }
        let place = self.intern(place);
        let new = Upstream {
            id: upstream.clone(),
            place,
            load: Load::default(),
            weight: 0.0,
            usable_position: None,
            models: Vec::new(),
            sent: VecDeque::new(),
            sent_tokens: 0,
            outstanding: 0,
            others_load: None,
        };
        let index = match self.free_indices.pop() {
            Some(index) => {
                self.upstreams[index as usize] = new;
                index
            }
            None => {
                self.upstreams.push(new);
                UpstreamIndex::try_from(self.upstreams.len() - 1)
                    .expect("fewer than 2^32 upstreams")
            }
        };
        self.indices.insert(upstream.clone(), index);
        self.set_health(upstream, 1.0);
    }

    /// Removes an upstream and the record of its cache.
    pub fn remove(&mut self, upstream: &id::UpstreamId) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        self.set_health(upstream, 0.0);
        self.set_models(upstream, &[]);
        self.clear_cache(upstream);
        self.indices.remove(upstream);
        self.free_indices.push(to_index(index));
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.indices.len()
    }

    /// Whether the view has no upstreams.
    pub fn is_empty(&self) -> bool {
        self.indices.is_empty()
    }

    /// Number of upstreams that may be chosen.
    pub fn usable(&self) -> usize {
        self.usable.len()
    }

    /// Sets the one-way delay from place `from` to place `to`.
    pub fn set_distance(&mut self, from: &id::PlaceId, to: &id::PlaceId, delay: Duration) {
        let pair = (self.intern(from), self.intern(to));
        self.distances.insert(pair, delay);
    }

    /// Sets the weight of an upstream: 0 for unusable, 1 for fully usable, in between during slow
    /// start.
    pub fn set_health(&mut self, upstream: &id::UpstreamId, weight: f64) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        self.upstreams[index].weight = weight.clamp(0.0, 1.0);
        match (self.upstreams[index].usable_position, weight > 0.0) {
            (None, true) => {
                self.upstreams[index].usable_position = Some(self.usable.len());
                self.usable.push(to_index(index));
            }
            (Some(usable_position), false) => {
                self.upstreams[index].usable_position = None;
                self.usable.swap_remove(usable_position);
                if let Some(&moved) = self.usable.get(usable_position) {
                    self.upstreams[moved as usize].usable_position = Some(usable_position);
                }
            }
            _ => {}
        }
    }

    /// Sets the models that an upstream has loaded.
    pub fn set_models(&mut self, upstream: &id::UpstreamId, models: &[id::ModelId]) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let before = std::mem::replace(&mut self.upstreams[index].models, models.to_vec());
        for model in before {
            if let Some(with_model) = self.models.get_mut(&model) {
                with_model.retain(|other| *other != to_index(index));
            }
        }
        for model in models {
            let with_model = self.models.entry(model.clone()).or_default();
            with_model.push(to_index(index));
        }
    }

    /// Applies a load report.
    pub fn update_load(&mut self, upstream: &id::UpstreamId, load: Load, now: Duration) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        upstream.load = load;
        // Work sent before the report was made is included in it.
        upstream.drop_sent_until(now.saturating_sub(load.age));
        upstream.update_others_load();
    }

    /// Records that this process sent a call that needs `tokens` of prefill.
    pub fn record_sent(&mut self, upstream: &id::UpstreamId, tokens: id::Tokens, now: Duration) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        upstream.drop_sent_until(now.saturating_sub(MAX_SENT_AGE));
        upstream.sent.push_back(Sent { at: now, tokens });
        upstream.sent_tokens += tokens;
        upstream.outstanding += 1;
    }

    /// Records that a sent call finished after `engine_time` in the upstream; `None` if it did not
    /// run there.
    pub fn record_finished(&mut self, upstream: &id::UpstreamId, engine_time: Option<Duration>) {
        if let Some(engine_time) = engine_time {
            self.turn_time = ewma(self.turn_time, engine_time.as_secs_f64(), SMOOTHING);
        }
        if let Some(index) = self.index(upstream) {
            let upstream = &mut self.upstreams[index];
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }

    /// Records that an upstream's cache now holds `tokens` of a program's history; 0 for none.
    pub fn set_cached(
        &mut self,
        program: &id::ProgramId,
        upstream: &id::UpstreamId,
        tokens: id::Tokens,
    ) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let index = to_index(index);
        let prefixes = self.caches.entry(program.clone()).or_default();
        prefixes.retain(|prefix| prefix.upstream != index);
        if tokens > 0 {
            if prefixes.len() >= MAX_HOLDERS {
                prefixes.remove(0);
            }
            prefixes.push(CachedPrefix {
                upstream: index,
                tokens,
            });
        }
        if prefixes.is_empty() {
            self.caches.remove(program);
        }
    }

    /// Forgets the caches of a program that has ended.
    pub fn forget_program(&mut self, program: &id::ProgramId) {
        self.caches.remove(program);
    }

    /// Records that an upstream's cache is empty, as after a restart.
    pub fn clear_cache(&mut self, upstream: &id::UpstreamId) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let index = to_index(index);
        self.caches.retain(|_, prefixes| {
            prefixes.retain(|prefix| prefix.upstream != index);
            !prefixes.is_empty()
        });
    }

    /// Tokens of a program's history that an upstream probably has cached.
    pub fn cached_tokens(&self, program: &id::ProgramId, upstream: &id::UpstreamId) -> id::Tokens {
        let prefixes = self.caches.get(program).map_or(&[][..], Vec::as_slice);
        self.index(upstream).map_or(0, |index| {
            let prefix = prefixes
                .iter()
                .find(|prefix| prefix.upstream as usize == index);
            prefix.map_or(0, |prefix| prefix.tokens)
        })
    }

    pub(super) fn index(&self, upstream: &id::UpstreamId) -> Option<usize> {
        self.indices.get(upstream).map(|index| *index as usize)
    }

    /// Index of a place, if an upstream or a distance refers to it.
    pub(super) fn place(&self, place: &id::PlaceId) -> Option<PlaceIndex> {
        self.places.get(place).copied()
    }

    /// One-way delay between two places; an unknown origin is remote to all.
    pub(super) fn distance(
        &self,
        from: Option<PlaceIndex>,
        to: PlaceIndex,
        options: &Options,
    ) -> Duration {
        let Some(from) = from else {
            return options.remote_delay;
        };
        if from == to {
            return Duration::ZERO;
        }
        let set = self.distances.get(&(from, to));
        set.copied().unwrap_or(options.remote_delay)
    }

    fn intern(&mut self, place: &id::PlaceId) -> PlaceIndex {
        let next = PlaceIndex::try_from(self.places.len()).expect("fewer than 2^32 places");
        *self.places.entry(place.clone()).or_insert(next)
    }
}

impl Upstream {
    fn drop_sent_until(&mut self, until: Duration) {
        while let Some(first) = self.sent.front() {
            if first.at > until {
                break;
            }
            self.sent_tokens -= first.tokens;
            self.sent.pop_front();
        }
    }

    /// Expected seconds until a job sent now has a slot in the batch.
    pub(super) fn queue_time(&self, turn_time: f64) -> f64 {
        let batch = match self.load.batch {
            0 => DEFAULT_BATCH,
            batch => batch,
        };
        // The count of this process's own calls is exact; only the load from other processes is as
        // old as the report.
        let present = f64::from(self.outstanding) + self.others_load.unwrap_or(0.0);
        let ahead = (present + 1.0 - f64::from(batch)).max(0.0);
        ahead * turn_time / f64::from(batch)
    }

    /// Subtracts this process's own calls from a report. The rest varies less between reports than
    /// the sum, and is smoothed, so that a report taken at a busy moment neither attracts nor
    /// repels every call until the next one.
    fn update_others_load(&mut self) {
        let reported = f64::from(self.load.queued + self.load.running);
        let own = self.outstanding.saturating_sub(self.sent.len() as u32);
        let others = (reported - f64::from(own)).max(0.0);
        let before = self.others_load.unwrap_or(others);
        self.others_load = Some(ewma(before, others, REPORT_SMOOTHING));
    }

    pub(super) fn prefill_time(&self, tokens: id::Tokens) -> f64 {
        let rate = match self.load.prefill_rate {
            0 => DEFAULT_PREFILL_RATE,
            rate => rate,
        };
        tokens as f64 / rate as f64
    }

    pub(super) fn step_time(&self) -> f64 {
        if self.load.step.is_zero() {
            DEFAULT_STEP.as_secs_f64()
        } else {
            self.load.step.as_secs_f64()
        }
    }
}

pub(super) fn to_index(index: usize) -> UpstreamIndex {
    UpstreamIndex::try_from(index).expect("fewer than 2^32 upstreams")
}
