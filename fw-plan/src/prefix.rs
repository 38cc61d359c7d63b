//! Index of the prompt prefixes that engines have in their KV caches, and the decisions made by it:
//! what an engine would have to read of a prompt, and whether to wait for the engine that has it.
//!
//! *Load pattern:* a prompt is a sequence of parts: a prefix that many programs share, the parent's
//! context if it is a sub-agent's, and the session's own. Engines keep the least recently used parts
//! within a limited number of tokens; in a burst a part is evicted after some two seconds. A program
//! starts five sub-agents at the same instant, through several entries.
//!
//! *Without it:* an entry knows where a session and its program ran last, but not whether the engine
//! still has the prompt, nor which other engines have a part of it. Turns leave the engine that has
//! their context as soon as it has no free slot, and sub-agents are spread over engines that all
//! read the parent's part again. Each token read stalls all calls of the engine's batch.
//!
//! *Rule:* each engine's cache is modelled by the reports of the turns that it ran: their parts
//! become its most recently used ones, and the least recently used are evicted beyond its capacity.
//! An engine has to read all tokens of a prompt but the longest run of parts that it holds, from the
//! first. A call waits for an engine that holds its context while the wait is expected to cost less
//! than reading the context elsewhere, the stall of the calls there included. The first turns of
//! sub-agents count those of their siblings that may be on the way through other entries.
//!
//! *Grounds:* an entry and a replica learn of a turn when it ends, and engines prefill about a
//! hundred tokens a millisecond: a mistake costs one prefill, nothing else. [`Options`] and the
//! constants give the reason of each figure.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Most parts of a prompt that are told apart: the first, which many programs share, the last, which
/// is the session's own, and the one before it, which a sub-agent shares with its parent.
pub const MAX_PARTS: usize = 3;

/// Most engines in an index, and most parts in the cache of one: together below 400 KB. Engines hold
/// parts of some hundreds of tokens and, on present machines, 64,000 tokens.
const MAX_ENGINES: usize = 128;
const MAX_CACHED_PARTS: usize = 256;

/// Fraction of an engine's capacity that is counted on: the prompts and outputs of running calls take
/// memory before they are reported.
const USABLE_CAPACITY: f64 = 0.9;

/// Capacity of an engine whose configuration states none.
const DEFAULT_CAPACITY: Tokens = 64_000;

/// Age below which an own record is kept although a replica's answer lacks it: the turn may still be
/// under way, so that no replica knows of it.
const UNREPORTED_AGE: Duration = Duration::from_millis(500);

/// Assumed number of sub-agents that a program starts at the same instant. If they are more, some of them
/// count on the same free slots; if fewer, some leave a free slot to nobody.
const SIBLINGS: u32 = 5;
/// Time in which siblings arrive.
const SIBLING_WINDOW: Duration = Duration::from_millis(100);

/// Number of tokens.
pub type Tokens = u32;

/// Digest of a part's id. Of some ten thousand parts two rarely share one; a prompt is then expected
/// to be found where it is not.
pub type Digest = u32;

/// Digest of the id of a part.
pub fn digest(id: &[u8]) -> Digest {
    xxh3::xxh3_64(id) as Digest
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Digest of its id.
    pub digest: Digest,
    /// Its tokens.
    pub tokens: Tokens,
}

/// Reduces the parts of a prompt to [`MAX_PARTS`]. Those between the first and the last but one are
/// counted with the latter, which is only a hit if they are.
pub fn condense(mut parts: Vec<Part>) -> Vec<Part> {
    if parts.len() > MAX_PARTS {
        let middle: Tokens = parts[1..parts.len() - 2]
            .iter()
            .fold(0, |sum, part| sum.saturating_add(part.tokens));
        parts.drain(1..parts.len() - 2);
        parts[1].tokens = parts[1].tokens.saturating_add(middle);
    }
    parts
}

/// Distinguishes the parts that belong to the programs of `team` from those of other teams, which could
/// otherwise have them forgotten by naming them. The first of several parts is shared among teams.
pub fn scope(mut parts: Vec<Part>, team: &[u8]) -> Vec<Part> {
    let shared = usize::from(parts.len() > 1);
    for part in &mut parts[shared..] {
        part.digest = xxh3::xxh3_64_with_seed(team, part.digest.into()) as Digest;
    }
    parts
}

/// Tokens of all parts.
pub fn total(parts: &[Part]) -> Tokens {
    parts
        .iter()
        .fold(0, |sum, part| sum.saturating_add(part.tokens))
}

/// One run of an engine: its cache is empty when it restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Short hash of its id.
    pub id: u16,
    /// Short hash of its start time.
    pub run: u16,
}

/// An engine that has the beginning of a prompt in its cache.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The engine.
    pub engine: Engine,
    /// Tokens from the beginning of the prompt that it has.
    pub tokens: Tokens,
}

/// The tokens of each of the parts that an engine has which holds the first `held` tokens.
pub fn split(parts: &[Part], held: Tokens) -> impl Iterator<Item = (Part, Tokens)> {
    parts.iter().scan(held, |left, part| {
        let here = part.tokens.min(*left);
        *left -= here;
        Some((*part, here))
    })
}

/// Whether an engine that holds the first `held` tokens has some of the parts that belong to the
/// program, and not only the prefix that many programs share.
pub fn holds_context(parts: &[Part], held: Tokens) -> bool {
    let shared = match parts {
        [] | [_] => 0,
        [first, ..] => first.tokens,
    };
    held > shared
}

/// The parent's part, if a prompt is that of a sub-agent's first turn: some engine holds the parent's
/// part, and none any of its own. `most_held` are the tokens that some engine holds.
pub fn parent_of_new(parts: &[Part], most_held: Tokens) -> Option<Digest> {
    let [root, parent, _] = parts else {
        return None;
    };
    let without_own = root.tokens.saturating_add(parent.tokens);
    let is_new = root.tokens < most_held && most_held <= without_own;
    is_new.then_some(parent.digest)
}

/// A part in the cache of an engine.
#[derive(Clone, Copy, Debug)]
struct Cached {
    part: Part,
    /// When it was used last, in milliseconds.
    used_ms: u32,
}

/// Calls of sub-agents that were sent to an engine within a short time.
#[derive(Clone, Copy, Debug, Default)]
struct Siblings {
    parent: Digest,
    calls: u32,
    since: Duration,
}

/// Model of the cache of one engine. The vector is sorted by last use; at a hundred parts, searching
/// it takes less than hashing and following a list.
#[derive(Debug)]
struct Cache {
    engine: Engine,
    parts: Vec<Cached>,
    tokens: u64,
    siblings: Siblings,
}

impl Cache {
    fn new(engine: Engine) -> Self {
        Self {
            engine,
            parts: Vec::new(),
            tokens: 0,
            siblings: Siblings::default(),
        }
    }

    fn find(&self, digest: Digest) -> Option<usize> {
        // Parts that are searched for are mostly among those used last.
        self.parts.iter().rposition(|c| c.part.digest == digest)
    }

    fn remove(&mut self, at: usize) -> Cached {
        let cached = self.parts.remove(at);
        self.tokens -= u64::from(cached.part.tokens);
        cached
    }

    fn forget(&mut self, digest: Digest) {
        if let Some(at) = self.find(digest) {
            self.remove(at);
        }
    }

    /// Makes `part` the most recently used one. One that is cached is never shortened by the use of its
    /// beginning.
    fn touch(&mut self, part: Part, used_ms: u32) {
        let cached = self.find(part.digest).map(|at| self.remove(at));
        let longest = cached.map_or(0, |c| c.part.tokens).max(part.tokens);
        let part = Part {
            tokens: longest,
            ..part
        };
        self.tokens += u64::from(longest);
        self.parts.push(Cached { part, used_ms });
    }

    /// Evicts the least recently used parts beyond `capacity` tokens.
    fn evict(&mut self, capacity: Tokens) {
        let usable = (f64::from(stated_or_default(capacity)) * USABLE_CAPACITY) as u64;
        let mut left = self.tokens;
        let mut count = 0;
        while count < self.parts.len()
            && (left > usable || self.parts.len() - count > MAX_CACHED_PARTS)
        {
            left -= u64::from(self.parts[count].part.tokens);
            count += 1;
        }
        self.parts.drain(..count);
        self.tokens = left;
    }

    /// Tokens from the beginning of the prompt that are cached and were used at `oldest_ms` or later.
    fn held(&self, parts: &[Part], oldest_ms: u32) -> Tokens {
        let mut held: Tokens = 0;
        for part in parts {
            let cached = self.find(part.digest).map(|at| self.parts[at]);
            let cached = cached.filter(|c| c.used_ms >= oldest_ms);
            let here = cached.map_or(0, |c| c.part.tokens.min(part.tokens));
            held = held.saturating_add(here);
            if here < part.tokens {
                break;
            }
        }
        held
    }
}

/// The prefixes that engines have in their caches, by the reports of turns. Engines whose last report
/// is oldest come first.
#[derive(Debug, Default)]
pub struct Index {
    caches: Vec<Cache>,
}

impl Index {
    /// The model of an engine's cache, which is empty if the engine has restarted.
    fn cache(&mut self, engine: Engine) -> &mut Cache {
        let at = self.caches.iter().position(|c| c.engine.id == engine.id);
        let cache = match at {
            Some(at) if self.caches[at].engine == engine => self.caches.remove(at),
            Some(at) => {
                self.caches.remove(at);
                Cache::new(engine)
            }
            None => Cache::new(engine),
        };
        if self.caches.len() >= MAX_ENGINES {
            self.caches.remove(0);
        }
        self.caches.push(cache);
        let last = self.caches.len() - 1;
        &mut self.caches[last]
    }

    /// Records that `engine`, with room for `capacity` tokens, has used the parts of a prompt; 0 for an
    /// unknown capacity. A prompt that does not fit is ignored: engines reject it.
    pub fn record(&mut self, engine: Engine, parts: &[Part], capacity: Tokens, now: Duration) {
        if total(parts) > stated_or_default(capacity) {
            return;
        }
        let cache = self.cache(engine);
        for part in parts {
            cache.touch(*part, millis(now));
        }
        cache.evict(capacity);
    }

    /// Records that this process has sent a call to `engine`, whose prompt will then be there.
    pub fn record_sent(&mut self, engine: Engine, parts: &[Part], capacity: Tokens, now: Duration) {
        if let [_, parent, own] = parts {
            let cache = self.cache(engine);
            if cache.find(own.digest).is_none() {
                let siblings = &mut cache.siblings;
                if siblings.parent != parent.digest
                    || now.saturating_sub(siblings.since) > SIBLING_WINDOW
                {
                    *siblings = Siblings {
                        parent: parent.digest,
                        calls: 0,
                        since: now,
                    };
                }
                siblings.calls += 1;
            }
        }
        self.record(engine, parts, capacity, now);
    }

    /// Forgets the parts at `engine`, where a call with them broke, and those that belong to the program
    /// at all others: repetitions should not follow it, nor go to an engine that may have failed as well.
    pub fn forget(&mut self, engine: Engine, parts: &[Part]) {
        let own = match parts {
            [_, own @ ..] if !own.is_empty() => own,
            all => all,
        };
        for cache in &mut self.caches {
            let parts = if cache.engine == engine { parts } else { own };
            parts.iter().for_each(|part| cache.forget(part.digest));
        }
    }

    /// Merges the answer of a replica, which has the reports of all entries. Older own records of the
    /// program's parts that it lacks are dropped, unless it knows of no engine at all, as after a
    /// restart of the replica.
    pub fn merge(&mut self, parts: &[Part], holders: &[Holder], now: Duration) {
        if holders.is_empty() {
            return;
        }
        let oldest = millis(now.saturating_sub(UNREPORTED_AGE));
        for cache in &mut self.caches {
            if holders.iter().any(|holder| holder.engine == cache.engine) {
                continue;
            }
            for part in parts.iter().skip(1) {
                let at = cache.find(part.digest);
                if let Some(at) = at.filter(|at| cache.parts[*at].used_ms < oldest) {
                    cache.remove(at);
                }
            }
        }
        for holder in holders {
            let cache = self.cache(holder.engine);
            for (part, tokens) in split(parts, holder.tokens) {
                if tokens > 0 {
                    cache.touch(Part { tokens, ..part }, millis(now));
                }
            }
            cache.evict(Tokens::MAX);
        }
    }

    /// The engines that hold the beginning of a prompt, by records no older than `max_age`.
    pub fn holders<'a>(
        &'a self,
        parts: &'a [Part],
        max_age: Duration,
        now: Duration,
    ) -> impl Iterator<Item = Holder> + 'a {
        let oldest = millis(now.saturating_sub(max_age));
        let holders = self.caches.iter().map(move |cache| Holder {
            engine: cache.engine,
            tokens: cache.held(parts, oldest),
        });
        holders.filter(|holder| holder.tokens > 0)
    }

    /// Calls of the sub-agent's siblings that this process has just sent to `engine`.
    fn siblings_sent(&self, engine: Engine, parent: Digest, now: Duration) -> u32 {
        let cache = self.caches.iter().find(|cache| cache.engine == engine);
        let siblings = cache.map(|cache| cache.siblings).filter(|siblings| {
            siblings.parent == parent && now.saturating_sub(siblings.since) <= SIBLING_WINDOW
        });
        siblings.map_or(0, |siblings| siblings.calls)
    }

    /// Calls of siblings that are expected at `engine` ahead of a sub-agent's first turn, and that no
    /// load report shows yet. Each sibling takes a place among them by its digest, so that those that
    /// come in through different entries do not all count on the same free slots.
    pub fn expected_siblings(&self, engine: Engine, parts: &[Part], now: Duration) -> u32 {
        let [_, parent, own] = parts else { return 0 };
        let place = own.digest % SIBLINGS;
        place.saturating_sub(self.siblings_sent(engine, parent.digest, now))
    }
}

fn stated_or_default(capacity: Tokens) -> Tokens {
    match capacity {
        0 => DEFAULT_CAPACITY,
        stated => stated,
    }
}

fn millis(at: Duration) -> u32 {
    u32::try_from(at.as_millis()).unwrap_or(u32::MAX)
}

/// Order of the engines for a part, the highest first, on which all processes agree (rendezvous
/// hashing).
pub fn preference(digest: Digest, engine: Engine) -> u64 {
    xxh3::xxh3_64_with_seed(&engine.id.to_le_bytes(), digest.into())
}

/// Prompt tokens that an engine prefills per millisecond, which gives the order of magnitude of the cost of a
/// cache miss; present engines prefill some hundred.
pub const PREFILL_TOKENS_PER_MS: u32 = 100;

/// Weights of the cost of a prefill.
#[derive(Clone, Debug)]
pub struct Options {
    /// Prompt tokens that an engine reads in a millisecond.
    pub tokens_per_ms: u32,
    /// Weight of the delay that a prefill causes to each other call in the batch: the engine generates
    /// nothing until it is over.
    pub stall_weight: f64,
    /// Weight of the contexts that a prefill evicts, each token one. When the engines are full, most are
    /// read again and stall as many calls as an engine has on average. Without it calls go to the
    /// engine with the fewest calls at the moment, and a third more tokens are read, as simulated in
    /// the tests.
    pub eviction_weight: f64,
    /// Weight of the tokens of a missing shared prefix. Many later programs find it there, so that it is
    /// no cost of this call alone; at full weight, programs gather at the few engines that have it
    /// until their caches are too small.
    pub shared_prefix_weight: f64,
    /// Longest wait for an engine that holds the context while others have room. Programs are due
    /// some hundred milliseconds after their time on idle engines.
    pub max_wait: Duration,
    /// Age of an entry's own record above which it does not count. In a burst an engine replaces its
    /// whole cache in about this time; replicas know of older parts.
    pub max_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            tokens_per_ms: PREFILL_TOKENS_PER_MS,
            stall_weight: 1.0,
            eviction_weight: 1.0,
            shared_prefix_weight: 0.3,
            max_wait: Duration::from_millis(100),
            max_age: Duration::from_secs(2),
        }
    }
}

impl Options {
    /// Time to read what an engine lacks that holds the first `held` tokens; a shared prefix counts only
    /// in part.
    pub fn cost(&self, parts: &[Part], held: Tokens) -> Duration {
        let missing = total(parts).saturating_sub(held);
        let shared = match parts {
            [] | [_] => 0,
            [first, ..] => first.tokens.saturating_sub(held),
        };
        let counted = f64::from(shared) * self.shared_prefix_weight;
        self.prefill(missing - shared + counted as Tokens)
    }

    /// Calls that are stalled when contexts are read again that a prefill evicts, at engines with
    /// `load` calls and `slots` on average. While slots are free, caches are rarely full.
    pub fn evicted_load(&self, load: f64, slots: f64) -> f64 {
        let slots = slots.max(1.0);
        let load = load.min(slots);
        load * (load / slots) * self.eviction_weight
    }

    /// Time to read `tokens`.
    pub fn prefill(&self, tokens: Tokens) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) / f64::from(self.tokens_per_ms.max(1)) / 1e3)
    }
}

/// Whether a call waits for an engine without room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It goes to an engine with room.
    Go,
    /// It waits for the engine that holds its context.
    Wait,
}

/// Decides whether a call waits for an engine that holds its context and has no room. Costs are in
/// milliseconds: `holder_ms` at that engine, with the wait for a slot; `elsewhere_ms` at the best
/// engine with room, with the prefill and the stall that it causes; `None` if there is no such engine.
/// A call that has `waited` for `max_wait` goes: the estimates were wrong.
pub fn decide(
    holder_ms: Option<f64>,
    elsewhere_ms: Option<f64>,
    waited: Duration,
    max_wait: Duration,
) -> Outcome {
    match (holder_ms, elsewhere_ms) {
        (Some(holder), Some(elsewhere)) if holder < elsewhere && waited < max_wait => Outcome::Wait,
        _ => Outcome::Go,
    }
}
