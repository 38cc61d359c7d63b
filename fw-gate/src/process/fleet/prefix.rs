//! What each engine would have to read of a call's prompt, by the index of cached prefixes.

use std::time::Duration;

use fw_base::id;
use fw_plan::prefix;
use xxhash_rust::xxh3;

use super::{Fleet, StartTime, Upstream};

/// The parts of a call's prompt, by which its upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Prompt<'a> {
    /// The parts.
    pub parts: &'a [prefix::Part],
    /// Tokens that the cache of an engine of the service has room for; 0 if unknown.
    pub capacity: prefix::Tokens,
}

/// Short hash of the start time of an upstream, by which its runs are told apart.
pub(super) fn run(started_at: StartTime) -> u16 {
    (xxh3::xxh3_64(&started_at.to_le_bytes()) & 0xffff) as u16
}

impl Upstream {
    /// The present run of the engine.
    pub(super) fn engine(&self) -> prefix::Engine {
        prefix::Engine {
            id: self.hash,
            run: self.start_hash,
        }
    }
}

/// An engine and its slots that no known call takes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Place {
    engine: prefix::Engine,
    free: u32,
}

impl From<&Upstream> for Place {
    fn from(upstream: &Upstream) -> Self {
        let calls = upstream.own_calls + upstream.other_calls;
        Self {
            engine: upstream.engine(),
            free: upstream.listed.slots.saturating_sub(calls),
        }
    }
}

/// What is expected of one engine for a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Expected {
    /// Time to read what it lacks.
    pub(super) prefill: Duration,
    /// Calls of siblings that are on the way to it.
    pub(super) siblings: u32,
    /// Whether it holds more of the prompt than the prefix that many programs share.
    pub(super) holds_context: bool,
}

/// The engines that hold the beginning of a call's prompt.
#[derive(Debug)]
pub(super) struct Outlook<'a> {
    prompt: Prompt<'a>,
    holders: Vec<prefix::Holder>,
    /// Calls of siblings that are expected at the holders.
    siblings: Vec<u32>,
    /// The engine that siblings agree on for a sub-agent's first turn while those with the parent's part
    /// have no room.
    overflow: Option<prefix::Engine>,
}

impl<'a> Outlook<'a> {
    /// Looks the prompt up for a choice among `places`.
    pub(super) fn new(
        fleet: &Fleet,
        prompt: Prompt<'a>,
        places: impl Iterator<Item = Place> + Clone,
    ) -> Self {
        let now = fleet.now();
        let parts = prompt.parts;
        let index = fleet.prefixes.lock();
        let holders: Vec<_> = index
            .holders(parts, fleet.features.prefix_options().max_age, now)
            .collect();
        let mut outlook = Self {
            prompt,
            holders,
            siblings: Vec::new(),
            overflow: None,
        };
        if let Some(parent) = prefix::parent_of_new(parts, outlook.most_held()) {
            let expected = |holder: &prefix::Holder| {
                if prefix::holds_context(parts, holder.tokens) {
                    index.expected_siblings(holder.engine, parts, now)
                } else {
                    0
                }
            };
            outlook.siblings = outlook.holders.iter().map(expected).collect();
            outlook.overflow = outlook.choose_overflow(parent, places);
        }
        outlook
    }

    /// The engine for siblings that find no room at the engines with the `parent`'s part. The entries
    /// agree on it, so that the part is read there once and not by each sibling somewhere else.
    fn choose_overflow(
        &self,
        parent: prefix::Digest,
        places: impl Iterator<Item = Place> + Clone,
    ) -> Option<prefix::Engine> {
        let has_context =
            |place: &Place| prefix::holds_context(self.prompt.parts, self.held(place.engine));
        let has_room = |place: Place| {
            let siblings = self
                .position(place.engine)
                .map_or(0, |at| self.siblings[at]);
            place.free > siblings
        };
        if places.clone().filter(has_context).any(has_room) {
            return None;
        }
        let others = places.filter(|place| place.free > 0 && !has_context(place));
        let engines = others.map(|place| place.engine);
        engines.max_by_key(|engine| prefix::preference(parent, *engine))
    }

    fn position(&self, engine: prefix::Engine) -> Option<usize> {
        self.holders.iter().position(|h| h.engine == engine)
    }

    fn most_held(&self) -> prefix::Tokens {
        self.holders.iter().map(|h| h.tokens).max().unwrap_or(0)
    }

    fn held(&self, engine: prefix::Engine) -> prefix::Tokens {
        self.position(engine)
            .map_or(0, |at| self.holders[at].tokens)
    }

    /// What is expected of `engine`.
    pub(super) fn expect(&self, opts: &prefix::Options, engine: prefix::Engine) -> Expected {
        let at = self.position(engine);
        let held = at.map_or(0, |at| self.holders[at].tokens);
        let mut prefill = opts.cost(self.prompt.parts, held);
        if self.overflow == Some(engine) {
            // The siblings that go there too share the reading of the parent's part.
            prefill = prefill.saturating_sub(opts.prefill(self.prompt.parts[1].tokens) / 2);
        }
        Expected {
            prefill,
            siblings: at
                .and_then(|at| self.siblings.get(at).copied())
                .unwrap_or(0),
            holds_context: prefix::holds_context(self.prompt.parts, held),
        }
    }

    /// The engine that holds most of the context, if any does.
    pub(super) fn best_holder(&self) -> Option<prefix::Engine> {
        let best = self.holders.iter().max_by_key(|holder| holder.tokens)?;
        let has_context = prefix::holds_context(self.prompt.parts, best.tokens);
        has_context.then_some(best.engine)
    }

    /// Records that the call was sent to `engine`, and returns the capacity of its cache.
    pub(super) fn record_sent(&self, fleet: &Fleet, engine: prefix::Engine) -> prefix::Tokens {
        let Prompt { parts, capacity } = self.prompt;
        let mut index = fleet.prefixes.lock();
        index.record_sent(engine, parts, capacity, fleet.now());
        capacity
    }

    /// Counts the tokens of the prompt that `engine` is expected to find and to read.
    pub(super) fn count_tokens(&self, engine: prefix::Engine) {
        let parts = self.prompt.parts;
        let here = prefix::split(parts, self.held(engine));
        let anywhere = prefix::split(parts, self.most_held());
        for (at, ((part, here), (_, anywhere))) in here.zip(anywhere).enumerate() {
            let cause = match at {
                0 if parts.len() > 1 => "shared_prefix",
                1 if parts.len() == prefix::MAX_PARTS => "parent",
                _ => "session",
            };
            count("found", cause, here);
            count("read", cause, anywhere.saturating_sub(here));
            count("read", "new", part.tokens - anywhere.max(here));
        }
    }
}

fn count(outcome: &'static str, cause: &'static str, tokens: prefix::Tokens) {
    if tokens > 0 {
        metrics::counter!("fw_gate_prompt_tokens_total", "outcome" => outcome, "cause" => cause)
            .increment(tokens.into());
    }
}

impl Fleet {
    /// The parts of a prompt by which calls are placed; none while the index is not used.
    pub fn placement_parts<'a>(&self, parts: &'a [prefix::Part]) -> &'a [prefix::Part] {
        if self.features.prefix_cache() {
            parts
        } else {
            &[]
        }
    }

    /// The criterion by which a call is placed whose prompt has `parts`, at engines with room for
    /// `kv_tokens`.
    pub fn prompt<'a>(
        &self,
        parts: &'a [prefix::Part],
        kv_tokens: id::Tokens,
    ) -> Option<Prompt<'a>> {
        let parts = self.placement_parts(parts);
        let capacity = prefix::Tokens::try_from(kv_tokens).unwrap_or(prefix::Tokens::MAX);
        (!parts.is_empty()).then_some(Prompt { parts, capacity })
    }

    /// Records the engines that hold the beginning of a prompt, as reported by a replica.
    pub fn merge_holders(&self, parts: &[prefix::Part], holders: &[prefix::Holder]) {
        if !parts.is_empty() {
            self.prefixes.lock().merge(parts, holders, self.now());
        }
    }

    /// Forgets where the program's parts of a prompt are, after a call with them broke at `engine`; the
    /// default for an unknown one.
    pub fn forget_prefix(&self, engine: prefix::Engine, parts: &[prefix::Part]) {
        if !parts.is_empty() {
            self.prefixes.lock().forget(engine, parts);
        }
    }
}
