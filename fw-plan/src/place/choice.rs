//! The comparison behind a choice.

use fw_base::id;
use rand::Rng;
use rand::RngExt;

use super::Options;
use super::Reason;
use super::Request;
use super::view::Held;
use super::view::Index;
use super::view::Place;
use super::view::Upstream;
use super::view::View;
use super::view::as_index;

/// An upstream that was compared.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) index: Index,
    cost: f64,
    pub(super) expected_latency: f64,
    pub(super) uncached_tokens: id::Tokens,
    holds: id::Tokens,
    pub(super) import_from: Option<Index>,
}

/// One choice under way.
pub(super) struct Chooser<'a> {
    view: &'a View,
    req: &'a Request<'a>,
    options: &'a Options,
    held: &'a [Held],
    avoid: Vec<Index>,
    from: Option<Place>,
}

impl<'a> Chooser<'a> {
    pub(super) fn new(view: &'a View, req: &'a Request<'a>, options: &'a Options) -> Self {
        let held = req.program.and_then(|program| view.caches.get(program));
        Self {
            view,
            req,
            options,
            held: held.map_or(&[][..], Vec::as_slice),
            from: view.place(req.place),
            avoid: req
                .avoid
                .iter()
                .filter_map(|id| view.index(id))
                .map(as_index)
                .collect(),
        }
    }

    pub(super) fn best_holder(&self) -> Option<Candidate> {
        let usable =
            |held: &&Held| self.is_usable(held.upstream) && !self.avoid.contains(&held.upstream);
        let holders = self.held.iter().filter(usable);
        holders
            .map(|held| self.candidate(held.upstream))
            .min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    pub(super) fn best_sampled(&self, rng: &mut impl Rng) -> Option<Candidate> {
        let pool = self.pool();
        if pool.len() <= self.options.choices {
            let wanted = |index: &&Index| self.is_usable(**index) && !self.avoid.contains(*index);
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

    /// Any usable upstream: one to be avoided, or one without the model, is better than none.
    fn any(&self) -> Option<Candidate> {
        let usable = &self.view.usable;
        let wanted = usable.iter().find(|index| !self.avoid.contains(*index));
        let any = wanted.or_else(|| usable.first());
        any.map(|index| self.candidate(*index))
    }

    fn is_usable(&self, index: Index) -> bool {
        self.view.upstreams[index as usize].weight > 0.0
    }

    /// An upstream that warms up is drawn in proportion to its weight.
    fn accepts(&self, index: Index, rng: &mut impl Rng) -> bool {
        let weight = self.view.upstreams[index as usize].weight;
        if weight <= 0.0 || self.avoid.contains(&index) {
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
        let uncached_tokens = self.req.prompt_tokens.saturating_sub(holds);
        let (import_from, missing) = self.import(index, upstream, uncached_tokens);
        let queued = upstream.load.prefill + upstream.sent_tokens;
        let wait = upstream.wait(self.view.service) + upstream.prefill(queued);
        let decode = upstream.step() * self.output() as f64;
        let load = self.model_load(upstream);
        let far = self.view.distance(self.from, upstream.place, self.options);
        let rest = wait + decode + load + far.as_secs_f64() * 2.0;
        Candidate {
            index,
            cost: rest + missing * self.options.cache_weight,
            expected_latency: rest + missing,
            uncached_tokens,
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

    /// Seconds to fill in what the cache uncached_tokens, by prefill or, if shorter, by import.
    fn import(
        &self,
        index: Index,
        upstream: &Upstream,
        uncached_tokens: id::Tokens,
    ) -> (Option<Index>, f64) {
        let prefill = upstream.prefill(uncached_tokens);
        let others = self.held.iter().filter(|held| held.upstream != index);
        let Some(source) = others.max_by_key(|held| held.tokens) else {
            return (None, prefill);
        };
        if self.options.export_rate == 0 {
            return (None, prefill);
        }
        let moved = source.tokens.min(uncached_tokens);
        let seconds = moved as f64 / self.options.export_rate as f64;
        let imported = seconds + upstream.prefill(uncached_tokens - moved);
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

    pub(super) fn settle(
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
