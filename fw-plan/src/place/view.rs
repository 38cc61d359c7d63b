//! What is known of the upstreams of one service.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::id;

use super::Load;
use super::Options;
use crate::ewma;

/// Index of an upstream in its view.
pub(super) type Index = u32;

/// Index of a place in its view.
pub(super) type Place = u32;

/// Work sent to an upstream that its last report cannot contain.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sent {
    at: Duration,
    tokens: id::Tokens,
}

#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) id: id::UpstreamId,
    pub(super) place: Place,
    pub(super) load: Load,
    /// 0 for unusable, 1 for fully usable, between while it starts slowly.
    pub(super) weight: f64,
    /// Position among the usable ones.
    position: Option<usize>,
    pub(super) models: Vec<id::ModelId>,
    /// In order of time.
    sent: VecDeque<Sent>,
    pub(super) sent_tokens: id::Tokens,
    /// Sent and not settled, by this process.
    outstanding: u32,
    /// Attempts there that other processes sent, smoothed over reports; `None` before the first.
    others: Option<f64>,
}

/// One cached prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct Held {
    pub(super) upstream: Index,
    pub(super) tokens: id::Tokens,
}

/// What is known of the upstreams of one service.
#[derive(Debug)]
pub struct View {
    pub(super) upstreams: Vec<Upstream>,
    names: HashMap<id::UpstreamId, Index>,
    free: Vec<Index>,
    pub(super) usable: Vec<Index>,
    pub(super) models: HashMap<id::ModelId, Vec<Index>>,
    pub(super) caches: HashMap<id::ProgramId, Vec<Held>>,
    places: HashMap<id::PlaceId, Place>,
    distances: HashMap<(Place, Place), Duration>,
    /// Engine time of one turn, smoothed, in seconds.
    pub(super) service: f64,
}

/// Most upstreams remembered as holding a program's cache.
const MAX_HELD: usize = 4;
/// Engine time of a turn before any was measured, in seconds.
const FIRST_SERVICE: f64 = 0.5;
/// Weight of the newest sample in smoothed times.
const SMOOTHING: f64 = 0.05;
/// Weight of the newest report in the others' part of a load.
const REPORT_SMOOTHING: f64 = 0.3;
/// Prefill speed before an upstream reports its own, in tokens a second.
const FIRST_PREFILL_RATE: u64 = 20_000;
/// Step time before an upstream reports its own.
const FIRST_STEP: Duration = Duration::from_micros(2_500);
/// Attempts run together by an engine that does not say.
const FIRST_BATCH: u32 = 32;
/// Work sent longer ago than this is in some report, or was lost.
const SENT_AGE: Duration = Duration::from_secs(5);

impl Default for View {
    fn default() -> Self {
        Self::new()
    }
}

impl View {
    /// A view without upstreams.
    pub fn new() -> Self {
        Self {
            upstreams: Vec::new(),
            names: HashMap::new(),
            free: Vec::new(),
            usable: Vec::new(),
            models: HashMap::new(),
            caches: HashMap::new(),
            places: HashMap::new(),
            distances: HashMap::new(),
            service: FIRST_SERVICE,
        }
    }

    /// Adds an upstream, usable at once; known ones only change their place.
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
            position: None,
            models: Vec::new(),
            sent: VecDeque::new(),
            sent_tokens: 0,
            outstanding: 0,
            others: None,
        };
        let index = match self.free.pop() {
            Some(index) => {
                self.upstreams[index as usize] = new;
                index
            }
            None => {
                self.upstreams.push(new);
                Index::try_from(self.upstreams.len() - 1).expect("fewer than 2^32 upstreams")
            }
        };
        self.names.insert(upstream.clone(), index);
        self.set_health(upstream, 1.0);
    }

    /// Removes an upstream and what is known of its cache.
    pub fn remove(&mut self, upstream: &id::UpstreamId) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        self.set_health(upstream, 0.0);
        self.set_models(upstream, &[]);
        self.clear_cache(upstream);
        self.names.remove(upstream);
        self.free.push(as_index(index));
    }

    /// Upstreams known.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Upstreams that may be chosen.
    pub fn usable(&self) -> usize {
        self.usable.len()
    }

    /// Sets the one-way delay from place `from` to place `to`.
    pub fn set_distance(&mut self, from: &id::PlaceId, to: &id::PlaceId, delay: Duration) {
        let pair = (self.intern(from), self.intern(to));
        self.distances.insert(pair, delay);
    }

    /// Sets how far an upstream may be used: 0 not at all, 1 fully, between while it warms up.
    pub fn set_health(&mut self, upstream: &id::UpstreamId, weight: f64) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        self.upstreams[index].weight = weight.clamp(0.0, 1.0);
        match (self.upstreams[index].position, weight > 0.0) {
            (None, true) => {
                self.upstreams[index].position = Some(self.usable.len());
                self.usable.push(as_index(index));
            }
            (Some(position), false) => {
                self.upstreams[index].position = None;
                self.usable.swap_remove(position);
                if let Some(&moved) = self.usable.get(position) {
                    self.upstreams[moved as usize].position = Some(position);
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
            if let Some(having) = self.models.get_mut(&model) {
                having.retain(|have| *have != as_index(index));
            }
        }
        for model in models {
            let having = self.models.entry(model.clone()).or_default();
            having.push(as_index(index));
        }
    }

    /// A load report arrived.
    pub fn update_load(&mut self, upstream: &id::UpstreamId, load: Load, now: Duration) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        upstream.load = load;
        // What was sent before the report was made is contained in it.
        upstream.drop_sent(now.saturating_sub(load.age));
        upstream.learn_others();
    }

    /// This process sent a call that needs `tokens` of prefill.
    pub fn record_sent(&mut self, upstream: &id::UpstreamId, tokens: id::Tokens, now: Duration) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        upstream.drop_sent(now.saturating_sub(SENT_AGE));
        upstream.sent.push_back(Sent { at: now, tokens });
        upstream.sent_tokens += tokens;
        upstream.outstanding += 1;
    }

    /// A sent call ended after `engine` time in the upstream; `None` if it did not run there.
    pub fn record_finished(&mut self, upstream: &id::UpstreamId, engine: Option<Duration>) {
        if let Some(engine) = engine {
            self.service = ewma(self.service, engine.as_secs_f64(), SMOOTHING);
        }
        if let Some(index) = self.index(upstream) {
            let upstream = &mut self.upstreams[index];
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }

    /// An upstream's cache holds `tokens` of a program's history from now on; 0 for none.
    pub fn set_cached(
        &mut self,
        program: &id::ProgramId,
        upstream: &id::UpstreamId,
        tokens: id::Tokens,
    ) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let index = as_index(index);
        let held = self.caches.entry(program.clone()).or_default();
        held.retain(|held| held.upstream != index);
        if tokens > 0 {
            if held.len() >= MAX_HELD {
                held.remove(0);
            }
            held.push(Held {
                upstream: index,
                tokens,
            });
        }
        if held.is_empty() {
            self.caches.remove(program);
        }
    }

    /// A program ended: nothing of it needs to be remembered.
    pub fn forget_program(&mut self, program: &id::ProgramId) {
        self.caches.remove(program);
    }

    /// An upstream's cache is empty, as after a restart.
    pub fn clear_cache(&mut self, upstream: &id::UpstreamId) {
        let Some(index) = self.index(upstream) else {
            return;
        };
        let index = as_index(index);
        self.caches.retain(|_, held| {
            held.retain(|held| held.upstream != index);
            !held.is_empty()
        });
    }

    /// Tokens of a program's history that an upstream is believed to hold.
    pub fn cached_tokens(&self, program: &id::ProgramId, upstream: &id::UpstreamId) -> id::Tokens {
        let held = self.caches.get(program).map_or(&[][..], Vec::as_slice);
        self.index(upstream).map_or(0, |index| {
            let held = held.iter().find(|held| held.upstream as usize == index);
            held.map_or(0, |held| held.tokens)
        })
    }

    pub(super) fn index(&self, upstream: &id::UpstreamId) -> Option<usize> {
        self.names.get(upstream).map(|index| *index as usize)
    }

    /// The index of a place, if an upstream or a distance has named it.
    pub(super) fn place(&self, place: &id::PlaceId) -> Option<Place> {
        self.places.get(place).copied()
    }

    /// One-way delay between two places; from an unknown one, all others are remote.
    pub(super) fn distance(&self, from: Option<Place>, to: Place, options: &Options) -> Duration {
        let Some(from) = from else {
            return options.remote;
        };
        if from == to {
            return Duration::ZERO;
        }
        let set = self.distances.get(&(from, to));
        set.copied().unwrap_or(options.remote)
    }

    fn intern(&mut self, place: &id::PlaceId) -> Place {
        let next = Place::try_from(self.places.len()).expect("fewer than 2^32 places");
        *self.places.entry(place.clone()).or_insert(next)
    }
}

impl Upstream {
    fn drop_sent(&mut self, before: Duration) {
        while let Some(first) = self.sent.front() {
            if first.at > before {
                break;
            }
            self.sent_tokens -= first.tokens;
            self.sent.pop_front();
        }
    }

    /// Seconds until a job sent now has its place in the batch.
    pub(super) fn wait(&self, service: f64) -> f64 {
        let batch = match self.load.batch {
            0 => FIRST_BATCH,
            batch => batch,
        };
        // What this process sent is known to it exactly; only the others' part is a report old.
        let there = f64::from(self.outstanding) + self.others.unwrap_or(0.0);
        let ahead = (there + 1.0 - f64::from(batch)).max(0.0);
        ahead * service / f64::from(batch)
    }

    /// Takes this process's own part out of a report. The rest changes less from report to report
    /// than the sum does, and is smoothed, so that a report taken at a busy moment neither
    /// attracts nor repels every call until the next one.
    fn learn_others(&mut self) {
        let reported = f64::from(self.load.queued + self.load.running);
        let own = self.outstanding.saturating_sub(self.sent.len() as u32);
        let others = (reported - f64::from(own)).max(0.0);
        let before = self.others.unwrap_or(others);
        self.others = Some(ewma(before, others, REPORT_SMOOTHING));
    }

    pub(super) fn prefill(&self, tokens: id::Tokens) -> f64 {
        let rate = match self.load.prefill_rate {
            0 => FIRST_PREFILL_RATE,
            rate => rate,
        };
        tokens as f64 / rate as f64
    }

    pub(super) fn step(&self) -> f64 {
        if self.load.step.is_zero() {
            FIRST_STEP.as_secs_f64()
        } else {
            self.load.step.as_secs_f64()
        }
    }
}

pub(super) fn as_index(index: usize) -> Index {
    Index::try_from(index).expect("fewer than 2^32 upstreams")
}
