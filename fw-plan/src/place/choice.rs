//! Comparison of candidates for a placement.

use fw_base::id;
use rand::Rng;
use rand::RngExt;

use super::Options;
use super::Reason;
use super::Request;
use super::view::CachedPrefix;
use super::view::PlaceIndex;
use super::view::Upstream;
use super::view::UpstreamIndex;
use super::view::View;
use super::view::to_index;

/// An upstream under comparison, with its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: UpstreamIndex,
    cost: f64,
    pub(super) expected_latency: f64,
    pub(super) uncached_tokens: id::Tokens,
    cached_tokens: id::Tokens,
    pub(super) import_from: Option<UpstreamIndex>,
}

/// State of one placement decision.
pub(super) struct Chooser<'a> {
    view: &'a View,
    req: &'a Request<'a>,
    options: &'a Options,
    cached: &'a [CachedPrefix],
    avoid: Vec<UpstreamIndex>,
    origin: Option<PlaceIndex>,
}

impl<'a> Chooser<'a> {
    pub(super) fn new(view: &'a View, req: &'a Request<'a>, options: &'a Options) -> Self {
        let cached = req.program.and_then(|program| view.caches.get(program));
        Self {
            view,
            req,
            options,
            cached: cached.map_or(&[][..], Vec::as_slice),
            origin: view.place(req.place),
            avoid: req
                .avoid
                .iter()
                .filter_map(|id| view.index(id))
                .map(to_index)
                .collect(),
        }
    }

    pub(super) fn best_holder(&self) -> Option<Candidate> {
        let usable = |prefix: &&CachedPrefix| {
            self.is_usable(prefix.upstream) && !self.avoid.contains(&prefix.upstream)
        };
        let holders = self.cached.iter().filter(usable);
        holders
            .map(|prefix| self.candidate(prefix.upstream))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    pub(super) fn best_sampled(&self, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pool();
        if pool.len() <= self.options.choices {
            let wanted =
                |index: &&UpstreamIndex| self.is_usable(**index) && !self.avoid.contains(*index);
            let best = pool
                .iter()
                .filter(wanted)
                .map(|index| self.candidate(*index))
                .min_by(|a, b| a.cost.total_cmp(&b.cost));
            return best.or_else(|| self.any_usable());
        }
        let mut best: Option<Candidate> = None;
        let mut left = self.options.choices;
        // Some draws may hit an upstream that must not be used.
        for _ in 0..self.options.choices * 4 {
            if left == 0 {
                break;
            }
            let index = pool[rng.random_range(0..pool.len())];
            if !self.accept_sample(index, rng) {
                continue;
            }
            left -= 1;
            let candidate = self.candidate(index);
            if best.is_none_or(|best| candidate.cost < best.cost) {
                best = Some(candidate);
            }
        }
        best.or_else(|| self.any_usable())
    }

    /// Any usable upstream: an avoided one, or one without the model, is better than none.
    fn any_usable(&self) -> Option<Candidate> {
        let usable = &self.view.usable;
        let wanted = usable.iter().find(|index| !self.avoid.contains(*index));
        let any = wanted.or_else(|| usable.first());
        any.map(|index| self.candidate(*index))
    }

    fn is_usable(&self, index: UpstreamIndex) -> bool {
        self.view.upstreams[index as usize].weight > 0.0
    }

    /// Accepts an upstream in slow start with a probability equal to its weight.
    fn accept_sample(&self, index: UpstreamIndex, rng: &mut impl Rng) -> bool {
        let weight = self.view.upstreams[index as usize].weight;
        if weight <= 0.0 || self.avoid.contains(&index) {
            return false;
        }
        weight >= 1.0 || rng.random::<f64>() < weight
    }

    /// Upstreams with the model loaded, or all usable ones if none has it.
    fn pool(&self) -> &[UpstreamIndex] {
        let with_model = self.req.model.and_then(|model| self.view.models.get(model));
        match with_model {
            Some(with_model) if !with_model.is_empty() => with_model,
            _ => &self.view.usable,
        }
    }

    fn candidate(&self, index: UpstreamIndex) -> Candidate {
        let upstream = &self.view.upstreams[index as usize];
        let cached_tokens = self.cached_tokens(index);
        let uncached_tokens = self.req.prompt_tokens.saturating_sub(cached_tokens);
        let (import_from, fill_time) = self.import(index, upstream, uncached_tokens);
        let queued = upstream.load.prefill + upstream.sent_tokens;
        let wait = upstream.queue_time(self.view.turn_time) + upstream.prefill_time(queued);
        let decode = upstream.step_time() * self.expected_output() as f64;
        let model_load = self.model_load(upstream);
        let distance = self
            .view
            .distance(self.origin, upstream.place, self.options);
        let base_cost = wait + decode + model_load + distance.as_secs_f64() * 2.0;
        Candidate {
            index,
            cost: base_cost + fill_time * self.options.cache_weight,
            expected_latency: base_cost + fill_time,
            uncached_tokens,
            cached_tokens,
            import_from,
        }
    }

    fn cached_tokens(&self, index: UpstreamIndex) -> id::Tokens {
        let prefix = self.cached.iter().find(|prefix| prefix.upstream == index);
        prefix.map_or(0, |prefix| prefix.tokens)
    }

    fn expected_output(&self) -> id::Tokens {
        match self.req.program {
            Some(_) => self.options.expected_output,
            None => 1,
        }
    }

    /// Seconds until the missing tokens are in the cache, by prefill or, if shorter, by import.
    fn import(
        &self,
        index: UpstreamIndex,
        upstream: &Upstream,
        uncached_tokens: id::Tokens,
    ) -> (Option<UpstreamIndex>, f64) {
        let prefill = upstream.prefill_time(uncached_tokens);
        let others = self.cached.iter().filter(|prefix| prefix.upstream != index);
        let Some(source) = others.max_by_key(|prefix| prefix.tokens) else {
            return (None, prefill);
        };
        if self.options.export_rate == 0 {
            return (None, prefill);
        }
        let moved = source.tokens.min(uncached_tokens);
        let seconds = moved as f64 / self.options.export_rate as f64;
        let imported = seconds + upstream.prefill_time(uncached_tokens - moved);
        if imported < prefill {
            (Some(source.upstream), imported)
        } else {
            (None, prefill)
        }
    }

    fn model_load(&self, upstream: &Upstream) -> f64 {
        match self.req.model {
            // An upstream that has reported no models may have any.
            Some(model) if !upstream.models.is_empty() && !upstream.models.contains(model) => {
                self.options.model_load_time.as_secs_f64()
            }
            _ => 0.0,
        }
    }

    pub(super) fn pick(
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
        let part = holder.cost * self.options.margin_fraction;
        let margin = part.max(self.options.margin.as_secs_f64());
        if holder.index == other.index || other.cost + margin >= holder.cost {
            return Some((holder, Reason::Cache));
        }
        Some((other, self.reason(&other)))
    }

    fn reason(&self, chosen: &Candidate) -> Reason {
        if chosen.cached_tokens > 0 {
            Reason::Cache
        } else if self.view.usable.len() == 1 {
            Reason::Only
        } else if self.cached.is_empty() {
            Reason::Delay
        } else {
            Reason::Moved
        }
    }
}
