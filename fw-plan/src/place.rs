//! Placement: which upstream runs a call, by expected delay.
//!
//! *Load pattern:* some upstreams are slow or full, what is known of them is a heartbeat old, and
//! most of a program's prompt lies in the cache of one engine.
//!
//! *Without it:* placing by count sends a slow upstream its full part and throws caches away;
//! placing by cache alone piles programs on a few engines; taking the least loaded one of all on
//! lagged reports sends everything to the same upstream until the next report (a herd).
//!
//! *Rule:* the cost of an upstream is the expected time until the turn is done there, in seconds:
//! wait for a place in the batch (its reported load, and what this process has sent since the
//! report was made), prefill of what its cache lacks, decoding at its step time, loading of a
//! missing model, and the distance to it. Compared are the upstreams that hold the program's
//! cache and a sample of others ("two choices", which avoids herds and costs O(1)). A program
//! leaves its cache only where that is better by a margin.
//!
//! *Cost:* upstreams are interned to indices; a choice reads a handful of them whatever their
//! number.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use fw_base::id;
use rand::Rng;
use rand::RngExt;

use crate::toward;

/// How costs are weighed.
#[derive(Clone, Debug)]
pub struct Options {
    /// Upstreams sampled besides those that hold the cache.
    pub choices: usize,
    /// A program leaves its cache only if that saves this long,
    pub margin: Duration,
    /// and at least this part of the cost of staying.
    pub margin_part: f64,
    /// How much a second of prefill weighs against a second of waiting. Above 1 favours a small
    /// waste of cache over program latency.
    pub cache_weight: f64,
    /// Tokens that a turn is expected to generate.
    pub output: id::Tokens,
    /// Time to load a model that is missing.
    pub model_load: Duration,
    /// One-way delay to an upstream in another place, where no distance is set.
    pub remote: Duration,
    /// Tokens a second at which a cache is exported to another engine; 0 if engines cannot.
    pub export_rate: id::Tokens,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            choices: 2,
            margin: Duration::from_millis(300),
            margin_part: 0.1,
            cache_weight: 1.0,
            output: 100,
            model_load: Duration::from_secs(20),
            remote: Duration::from_micros(500),
            export_rate: 0,
        }
    }
}

/// How busy an upstream says it is; the fields have the meaning of the heartbeat's.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Attempts waiting in the side's queue.
    pub queued: u32,
    /// Attempts in the engine.
    pub running: u32,
    /// Most attempts that the engine runs together; 0 if not known.
    pub batch: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill: id::Tokens,
    /// Prefill speed in tokens a second; 0 if not known.
    pub prefill_rate: u64,
    /// Time from arrival at the side to release into the engine, smoothed.
    pub delay: Duration,
    /// Time between tokens of one stream, smoothed; zero if not known.
    pub step: Duration,
    /// Age of the report when it arrived.
    pub age: Duration,
}

/// A call to be placed.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// The program; `None` for a plain request.
    pub program: Option<&'a id::ProgramId>,
    /// Estimate of the whole prompt's tokens; 0 for a plain request.
    pub prompt_tokens: id::Tokens,
    /// Place of the process that chooses.
    pub place: &'a id::PlaceId,
    /// The model; `None` for a plain request.
    pub model: Option<&'a id::ModelId>,
    /// An upstream not to choose if there is another, such as the one that just failed.
    pub avoid: Option<&'a id::UpstreamId>,
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It holds the program's cache.
    Cache,
    /// The shortest expected delay; no cache is known.
    Delay,
    /// The shortest expected delay; the program leaves its cache elsewhere.
    Moved,
    /// It is the only one usable.
    Only,
}

impl Reason {
    /// Value of the `reason` label on counters.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cache => "cache",
            Self::Delay => "delay",
            Self::Moved => "moved",
            Self::Only => "only",
        }
    }
}

/// The choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The upstream chosen.
    pub upstream: id::UpstreamId,
    /// Why.
    pub reason: Reason,
    /// Expected time until the turn is done there.
    pub expected: Duration,
    /// Prompt tokens that its cache is believed to lack.
    pub lacks: id::Tokens,
    /// Where the program's cache is worth exporting from first.
    pub import_from: Option<id::UpstreamId>,
}

/// Index of an upstream in its view.
type Index = u32;

/// Work sent to an upstream that its last report cannot contain.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: Duration,
    tokens: id::Tokens,
}

#[derive(Debug)]
struct Upstream {
    id: id::UpstreamId,
    place: id::PlaceId,
    load: Load,
    /// 0 for unusable, 1 for fully usable, between while it starts slowly.
    weight: f64,
    /// Position among the usable ones.
    position: Option<usize>,
    models: Vec<id::ModelId>,
    /// In order of time.
    sent: VecDeque<Sent>,
    sent_tokens: id::Tokens,
    /// Sent and not settled, by this process.
    outstanding: u32,
    /// Attempts there that other processes sent, smoothed over reports; `None` before the first.
    others: Option<f64>,
}

/// One cached prefix.
#[derive(Clone, Copy, Debug)]
struct Held {
    upstream: Index,
    tokens: id::Tokens,
}

/// What is known of the upstreams of one service.
#[derive(Debug)]
pub struct View {
    upstreams: Vec<Upstream>,
    names: HashMap<id::UpstreamId, Index>,
    free: Vec<Index>,
    usable: Vec<Index>,
    models: HashMap<id::ModelId, Vec<Index>>,
    caches: HashMap<id::ProgramId, Vec<Held>>,
    distances: HashMap<(id::PlaceId, id::PlaceId), Duration>,
    /// Engine time of one turn, smoothed, in seconds.
    service: f64,
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
            distances: HashMap::new(),
            service: FIRST_SERVICE,
        }
    }

    /// Adds an upstream, usable at once; known ones only change their place.
    pub fn add(&mut self, upstream: &id::UpstreamId, place: &id::PlaceId) {
        if let Some(index) = self.index(upstream) {
            self.upstreams[index].place = place.clone();
            return;
        }
        let new = Upstream {
            id: upstream.clone(),
            place: place.clone(),
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
        self.forget_cache(upstream);
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
        self.distances.insert((from.clone(), to.clone()), delay);
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
    pub fn report(&mut self, upstream: &id::UpstreamId, load: Load, now: Duration) {
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
    pub fn sent(&mut self, upstream: &id::UpstreamId, tokens: id::Tokens, now: Duration) {
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
    pub fn settled(&mut self, upstream: &id::UpstreamId, engine: Option<Duration>) {
        if let Some(engine) = engine {
            self.service = toward(self.service, engine.as_secs_f64(), SMOOTHING);
        }
        if let Some(index) = self.index(upstream) {
            let upstream = &mut self.upstreams[index];
            upstream.outstanding = upstream.outstanding.saturating_sub(1);
        }
    }

    /// An upstream's cache holds `tokens` of a program's history from now on; 0 for none.
    pub fn cache(
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
    pub fn forget(&mut self, program: &id::ProgramId) {
        self.caches.remove(program);
    }

    /// An upstream's cache is empty, as after a restart.
    pub fn forget_cache(&mut self, upstream: &id::UpstreamId) {
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
    pub fn held(&self, program: &id::ProgramId, upstream: &id::UpstreamId) -> id::Tokens {
        let held = self.caches.get(program).map_or(&[][..], Vec::as_slice);
        self.index(upstream).map_or(0, |index| {
            let held = held.iter().find(|held| held.upstream as usize == index);
            held.map_or(0, |held| held.tokens)
        })
    }

    fn index(&self, upstream: &id::UpstreamId) -> Option<usize> {
        self.names.get(upstream).map(|index| *index as usize)
    }

    fn distance(&self, from: &id::PlaceId, to: &id::PlaceId, options: &Options) -> Duration {
        if from == to {
            return Duration::ZERO;
        }
        // The map is asked for only where distances are set at all.
        if self.distances.is_empty() {
            return options.remote;
        }
        let key = (from.clone(), to.clone());
        self.distances.get(&key).copied().unwrap_or(options.remote)
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
    fn wait(&self, service: f64) -> f64 {
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
        self.others = Some(toward(before, others, REPORT_SMOOTHING));
    }

    fn prefill(&self, tokens: id::Tokens) -> f64 {
        let rate = match self.load.prefill_rate {
            0 => FIRST_PREFILL_RATE,
            rate => rate,
        };
        tokens as f64 / rate as f64
    }

    fn step(&self) -> f64 {
        if self.load.step.is_zero() {
            FIRST_STEP.as_secs_f64()
        } else {
            self.load.step.as_secs_f64()
        }
    }
}

/// An upstream that was compared.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: Index,
    cost: f64,
    expected: f64,
    lacks: id::Tokens,
    holds: id::Tokens,
    import_from: Option<Index>,
}

/// Chooses an upstream for a call; `None` if none is usable.
pub fn choose(
    view: &View,
    req: &Request<'_>,
    options: &Options,
    rng: &mut impl Rng,
) -> Option<Outcome> {
    let avoid = req.avoid.and_then(|id| view.index(id)).map(as_index);
    let held = req.program.and_then(|program| view.caches.get(program));
    let held = held.map_or(&[][..], Vec::as_slice);
    let chooser = Chooser {
        view,
        req,
        options,
        held,
        avoid,
    };
    let holder = chooser.best_holder();
    let other = chooser.best_sampled(rng);
    let (chosen, reason) = chooser.settle(holder, other)?;
    let name = |index: Index| view.upstreams[index as usize].id.clone();
    Some(Outcome {
        upstream: name(chosen.index),
        reason,
        expected: Duration::from_secs_f64(chosen.expected),
        lacks: chosen.lacks,
        import_from: chosen.import_from.map(name),
    })
}

struct Chooser<'a> {
    view: &'a View,
    req: &'a Request<'a>,
    options: &'a Options,
    held: &'a [Held],
    avoid: Option<Index>,
}

impl Chooser<'_> {
    fn best_holder(&self) -> Option<Candidate> {
        let usable =
            |held: &&Held| self.is_usable(held.upstream) && self.avoid != Some(held.upstream);
        let holders = self.held.iter().filter(usable);
        holders
            .map(|held| self.candidate(held.upstream))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    fn best_sampled(&self, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pool();
        if pool.len() <= self.options.choices {
            let wanted = |index: &&Index| self.is_usable(**index) && Some(**index) != self.avoid;
            let best = pool
                .iter()
                .filter(wanted)
                .map(|index| self.candidate(*index))
                .min_by(|a, b| a.cost.total_cmp(&b.cost));
            return best.or_else(|| self.any());
        }
        let mut best: Option<Candidate> = None;
        let mut left = self.options.choices;
        // A few draws may hit an upstream that is not to be used.
        for _ in 0..self.options.choices * 4 {
            if left == 0 {
                break;
            }
            let index = pool[rng.random_range(0..pool.len())];
            if !self.accepts(index, rng) {
                continue;
            }
            left -= 1;
            let candidate = self.candidate(index);
            if best.is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
        best.or_else(|| self.any())
    }

    /// Any usable upstream: the one to be avoided, or one without the model, is better than none.
    fn any(&self) -> Option<Candidate> {
        let first = self.view.usable.first();
        first.map(|index| self.candidate(*index))
    }

    fn is_usable(&self, index: Index) -> bool {
        self.view.upstreams[index as usize].weight > 0.0
    }

    /// An upstream that warms up is drawn in proportion to its weight.
    fn accepts(&self, index: Index, rng: &mut impl Rng) -> bool {
        let weight = self.view.upstreams[index as usize].weight;
        if weight <= 0.0 || self.avoid == Some(index) {
            return false;
        }
        weight >= 1.0 || rng.random::<f64>() < weight
    }

    /// Upstreams with the model loaded, or all if none has it.
    fn pool(&self) -> &[Index] {
        let having = self.req.model.and_then(|model| self.view.models.get(model));
        match having {
            Some(having) if !having.is_empty() => having,
            _ => &self.view.usable,
        }
    }

    fn candidate(&self, index: Index) -> Candidate {
        let upstream = &self.view.upstreams[index as usize];
        let holds = self.holds(index);
        let lacks = self.req.prompt_tokens.saturating_sub(holds);
        let (import_from, missing) = self.import(index, upstream, lacks);
        let queued = upstream.load.prefill + upstream.sent_tokens;
        let wait = upstream.wait(self.view.service) + upstream.prefill(queued);
        let decode = upstream.step() * self.output() as f64;
        let load = self.model_load(upstream);
        let far = self
            .view
            .distance(self.req.place, &upstream.place, self.options);
        let rest = wait + decode + load + far.as_secs_f64() * 2.0;
        Candidate {
            index,
            cost: rest + missing * self.options.cache_weight,
            expected: rest + missing,
            lacks,
            holds,
            import_from,
        }
    }

    fn holds(&self, index: Index) -> id::Tokens {
        let held = self.held.iter().find(|held| held.upstream == index);
        held.map_or(0, |held| held.tokens)
    }

    fn output(&self) -> id::Tokens {
        match self.req.program {
            Some(_) => self.options.output,
            None => 1,
        }
    }

    /// Seconds to fill in what the cache lacks, by prefill or, if shorter, by import.
    fn import(&self, index: Index, upstream: &Upstream, lacks: id::Tokens) -> (Option<Index>, f64) {
        let prefill = upstream.prefill(lacks);
        let others = self.held.iter().filter(|held| held.upstream != index);
        let Some(source) = others.max_by_key(|held| held.tokens) else {
            return (None, prefill);
        };
        if self.options.export_rate == 0 {
            return (None, prefill);
        }
        let moved = source.tokens.min(lacks);
        let seconds = moved as f64 / self.options.export_rate as f64;
        let imported = seconds + upstream.prefill(lacks - moved);
        if imported < prefill {
            (Some(source.upstream), imported)
        } else {
            (None, prefill)
        }
    }

    fn model_load(&self, upstream: &Upstream) -> f64 {
        match self.req.model {
            // An upstream that has named no models says nothing about them.
            Some(model) if !upstream.models.is_empty() && !upstream.models.contains(model) => {
                self.options.model_load.as_secs_f64()
            }
            _ => 0.0,
        }
    }

    fn settle(
        &self,
        holder: Option<Candidate>,
        other: Option<Candidate>,
    ) -> Option<(Candidate, Reason)> {
        let (holder, other) = match (holder, other) {
            (None, None) => return None,
            (Some(holder), None) => return Some((holder, Reason::Cache)),
            (None, Some(other)) => return Some((other, self.reason(&other))),
            (Some(holder), Some(other)) => (holder, other),
        };
        let part = holder.cost * self.options.margin_part;
        let margin = part.max(self.options.margin.as_secs_f64());
        if holder.index == other.index || other.cost + margin >= holder.cost {
            return Some((holder, Reason::Cache));
        }
        Some((other, self.reason(&other)))
    }

    fn reason(&self, chosen: &Candidate) -> Reason {
        if chosen.holds > 0 {
            Reason::Cache
        } else if self.view.usable.len() == 1 {
            Reason::Only
        } else if self.held.is_empty() {
            Reason::Delay
        } else {
            Reason::Moved
        }
    }
}

fn as_index(index: usize) -> Index {
    Index::try_from(index).expect("fewer than 2^32 upstreams")
}
