//! Choice of the upstream for a call: the usable upstreams, the cost of each, and the wait for a free slot.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fw_base::{error, id};
use fw_plan::{assign, prefix, quarantine, spill, wait_queue};
use fw_replica::{affinity, streams};
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::lease::{Eligibility, Lease, Ticket};
use super::prefix::Outlook;
use super::{Affinity, Criteria, Fleet, Service, Upstream};

/// Fraction of a call's mean duration that is saved at an upstream which recently handled the object;
/// present services save a half.
const AFFINITY_GAIN: f64 = 0.5;

/// Bytes of a turn with its answer: a prompt of up to 4 KiB and some hundred bytes for each of some ten
/// events.
const TURN_BYTES: u32 = 6 << 10;
/// Bytes of a plain call with its answer: some 800 of the body, the rest headers.
const PLAIN_BYTES: u32 = 3 << 9;

/// Slots and load of a candidate upstream, by which it is decided whether it has room for a call.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    hash: affinity::Upstream,
    /// Whether the call's context is cached there; `None` if the call is not placed by the index.
    holds_context: Option<bool>,
    slots: u32,
    load: f64,
}

/// How long a call may wait for the upstream that has its context.
#[derive(Clone, Copy, Debug, Default)]
struct ContextWait {
    waited: Duration,
    max: Duration,
}

/// Why a call gets no upstream yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    /// No upstream has room.
    Full,
    /// Waiting for the upstream that has the context costs less than one with room.
    ForContext,
}

impl Fleet {
    /// Chooses an upstream of `service`, whether it has a free slot or not.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none takes work.
    pub fn choose(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        criteria: &Criteria<'_>,
    ) -> Result<Lease, error::Error> {
        let service = self.find_service(service_id)?;
        let wait = ContextWait::default();
        let picked = self.pick(service_id, &service, criteria, wait, |_| true)?;
        picked.map_err(|_| no_upstream(service_id, criteria))
    }

    /// Chooses an upstream of `service` that has room; waits for a limited time until there is one and the
    /// call is the first in the queue, or one of the first and the upstream has its prompt in the cache.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none takes work; `Overloaded` when the call would begin a program and programs in
    /// progress need all slots.
    pub async fn acquire(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        criteria: &Criteria<'_>,
    ) -> Result<Lease, error::Error> {
        let service = self.find_service(service_id)?;
        let preferred = self.preferred(criteria);
        // A call that is bound to a version would hold up those behind it while other versions have room.
        let is_queued = criteria.version.is_none();
        let ticket = is_queued.then(|| {
            Ticket::enqueue(&service, preferred, |number| {
                self.wait_queue
                    .rank(&criteria.queue_call, self.now(), number)
            })
        });
        let started_at = tokio::time::Instant::now();
        let (mut waits_for_context, mut waited_for_context) = (false, false);
        let longest_wait = self.wait_queue.longest_wait(&criteria.queue_call);
        while started_at.elapsed() < longest_wait {
            let eligibility = ticket.as_ref().map_or(Eligibility::All, |ticket| {
                ticket.eligibility(&self.wait_queue)
            });
            let fits = |capacity: &Capacity| {
                let by_affinity = || Some(capacity.hash) == preferred;
                let is_preferred = capacity.holds_context.unwrap_or_else(by_affinity);
                let waited = started_at.elapsed();
                let is_eligible = eligibility == Eligibility::All || is_preferred;
                is_eligible
                    && self
                        .wait_queue
                        .has_room(capacity.slots, capacity.load, is_preferred, waited)
            };
            if eligibility != Eligibility::None {
                let wait = ContextWait {
                    waited: started_at.elapsed(),
                    max: self.features.prefix_options().max_wait,
                };
                let picked = self.pick(service_id, &service, criteria, wait, fits)?;
                let waits = matches!(picked, Err(Held::ForContext));
                if let Some(ticket) = ticket.as_ref().filter(|_| waits != waits_for_context) {
                    ticket.set_waits_for_context(waits);
                }
                if let Ok(lease) = picked {
                    if waited_for_context {
                        count_context_wait(&lease, preferred);
                    }
                    metrics::histogram!("fw_gate_held_seconds")
                        .record(started_at.elapsed().as_secs_f64());
                    return Ok(lease);
                }
                waits_for_context = waits;
                waited_for_context |= waits;
            }
            // Tried again also without a wake-up: the weight of reported load decreases with its age.
            let recheck = tokio::time::sleep(self.wait_queue.recheck_interval);
            match &ticket {
                Some(ticket) => tokio::select! {
                    () = ticket.wakeup.notified() => {}
                    () = recheck => {}
                },
                None => recheck.await,
            }
        }
        drop(ticket);
        // A call ahead may wait for the upstream that has its prompt while another has a free slot: no reason to
        // refuse a program that was admitted.
        let has_slot = |at: &Capacity| at.load + 1.0 <= f64::from(at.slots);
        if self.features.fair_admission()
            && criteria.queue_call.begins_program
            && let Ok(lease) = self.pick(
                service_id,
                &service,
                criteria,
                ContextWait::default(),
                has_slot,
            )?
        {
            return Ok(lease);
        }
        metrics::counter!("fw_gate_held_too_long_total").increment(1);
        match self.wait_queue.expire(&criteria.queue_call, rand::random()) {
            wait_queue::Expired::Send => self.choose(service_id, criteria),
            wait_queue::Expired::Refuse(after) => {
                self.count_refused_wait();
                let message = "programs in progress need all slots";
                let err = error::Error::new(error::Kind::Overloaded, message);
                Err(err.with_retry_after(after))
            }
        }
    }

    /// The slots of all usable upstreams of a service, and the calls that are in flight there or wait here.
    pub(super) fn occupancy(&self, service: &Service) -> (f64, f64) {
        let usable = self.usable(service, &[], None);
        let options = self.cost_options(service);
        let affinity = Affinity::None;
        let candidates = self.candidates(service, &usable, &affinity, None);
        let at = candidates.map(|(_, c)| (f64::from(c.slots), c.load(&options)));
        let waiting = service.waiting.len() as f64;
        at.fold((0.0, waiting), |(slots, load), (more_slots, more)| {
            (slots + more_slots, load + more)
        })
    }

    /// Finds a service.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when no upstream of it has ever been listed.
    fn find_service(&self, id: &id::ServiceId) -> Result<Arc<Mutex<Service>>, error::Error> {
        self.service(id)
            .ok_or_else(|| no_upstream(id, &Criteria::default()))
    }

    /// The upstream that has most of the prompt in its cache.
    fn preferred(&self, criteria: &Criteria<'_>) -> Option<affinity::Upstream> {
        if let Some(prompt) = criteria.prompt {
            let outlook = Outlook::new(self, prompt, std::iter::empty());
            return outlook.best_holder().map(|engine| engine.id);
        }
        match &criteria.affinity {
            Affinity::Prompt { lineage, .. } => self.affinity.last_upstreams(lineage).preferred(),
            Affinity::Object(_) | Affinity::None => None,
        }
    }

    /// Leases the best upstream that `fits`, if any does and none is worth the wait.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none takes work.
    fn pick(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        service: &Arc<Mutex<Service>>,
        criteria: &Criteria<'_>,
        wait: ContextWait,
        fits: impl Fn(&Capacity) -> bool,
    ) -> Result<Result<Lease, Held>, error::Error> {
        let mut locked = service.lock();
        let usable = self.usable(&locked, criteria.avoid, criteria.version);
        if usable.is_empty() {
            return Err(no_upstream(service_id, criteria));
        }
        let usable = prefer_others(&locked, usable, criteria.avoid_if_possible);
        let places = usable.iter().map(|at| (&locked.upstreams[*at]).into());
        let outlook = criteria
            .prompt
            .map(|prompt| Outlook::new(self, prompt, places));
        let candidates = self.candidates(&locked, &usable, &criteria.affinity, outlook.as_ref());
        let candidates: Vec<_> = candidates.collect();
        let mut options = self.cost_options(&locked);
        if outlook.is_some() {
            self.weigh_prefill(&mut options, &candidates);
        }
        if let Some(spill) = self.features.spill() {
            let near = near_room(&candidates, &options);
            let bytes = message_bytes(&criteria.affinity);
            options.remote_cost = spill::remote_cost(&spill, near, options.remote_cost, bytes);
        }
        let mut holder_ms = None;
        let (indices, candidates): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .filter(|(at, c)| {
                let upstream = &locked.upstreams[*at];
                let expected = outlook.as_ref().map(|outlook| {
                    outlook.expect(self.features.prefix_options(), upstream.engine())
                });
                let holds_context = expected.map(|expected| expected.holds_context);
                let has_room = fits(&Capacity {
                    hash: upstream.hash,
                    holds_context,
                    slots: c.slots,
                    load: c.load(&options),
                });
                if !has_room && holds_context == Some(true) {
                    let cost = c.cost_ms(&options);
                    holder_ms = Some(holder_ms.map_or(cost, |least: f64| least.min(cost)));
                }
                has_room
            })
            .unzip();
        let Some(chosen) = assign::choose(&options, &candidates, &mut rand::rng()) else {
            return Ok(Err(Held::Full));
        };
        let elsewhere_ms = candidates[chosen].cost_ms(&options);
        if prefix::decide(holder_ms, Some(elsewhere_ms), wait.waited, wait.max)
            == prefix::Outcome::Wait
        {
            return Ok(Err(Held::ForContext));
        }
        let upstream = &mut locked.upstreams[indices[chosen]];
        let mut lease = Lease::take(self, service, upstream, candidates[chosen]);
        let upstream = upstream.hash;
        drop(locked);
        if let Some(outlook) = outlook {
            outlook.count_tokens(lease.engine);
            lease.capacity = outlook.record_sent(self, lease.engine);
        }
        if let Affinity::Prompt { lineage, .. } = &criteria.affinity {
            self.affinity.record(&affinity::Location {
                lineage: lineage.clone(),
                upstream,
                prefix: None,
            });
        }
        Ok(Ok(lease))
    }

    /// Sets the weights of a prefill whose length is known at each of `candidates`.
    fn weigh_prefill(
        &self,
        options: &mut assign::Options,
        candidates: &[(usize, assign::Candidate)],
    ) {
        let count = candidates.len().max(1) as f64;
        let load: f64 = candidates.iter().map(|(_, c)| c.load(options)).sum();
        let slots: f64 = candidates.iter().map(|(_, c)| f64::from(c.slots)).sum();
        options.prefill_stall_weight = self.features.prefix_options().stall_weight;
        options.max_stalled = slots / count;
        options.evicted_load = self
            .features
            .prefix_options()
            .evicted_load(load / count, slots / count);
    }

    /// Indices of the upstreams that may get a call which has failed at those in `avoid`, and may run only at
    /// `version`.
    fn usable(
        &self,
        service: &Service,
        avoid: &[id::UpstreamId],
        version: Option<&streams::Version>,
    ) -> Vec<usize> {
        let now = self.now();
        let takes_work = |at: &usize| {
            let upstream = &service.upstreams[*at];
            let replaced_until = upstream.replaced_until;
            upstream.listed.takes_work && replaced_until.is_none_or(|until| Instant::now() >= until)
        };
        let has_version =
            |at: &usize| version.is_none_or(|version| service.upstreams[*at].has_version(version));
        let listed = (0..service.upstreams.len()).filter(takes_work);
        let listed = listed.filter(has_version);
        let is_untried = |at: &usize| !avoid.contains(&service.upstreams[*at].listed.id);
        let is_healthy = |at: &usize| {
            let id = &service.upstreams[*at].listed.id;
            service.health.decide(now, id).weight() > 0.0
        };
        let untried: Vec<_> = listed.filter(is_untried).collect();
        let usable: Vec<_> = untried.iter().copied().filter(is_healthy).collect();
        if usable.is_empty() {
            // All are ejected: sending the call to one of them is better than refusing it, also after it has
            // failed elsewhere.
            return untried;
        }
        usable
    }

    /// The options of the cost function, with the mean duration of the service's calls.
    fn cost_options(&self, service: &Service) -> assign::Options {
        let call = if service.mean_call_secs > 0.0 {
            Duration::from_secs_f64(service.mean_call_secs)
        } else {
            self.options.call_duration
        };
        assign::Options {
            call_duration: call,
            ..self.options.clone()
        }
    }

    /// The cost inputs of the upstreams at `indices`.
    fn candidates<'a>(
        &'a self,
        service: &'a Service,
        indices: &'a [usize],
        affinity: &Affinity<'_>,
        outlook: Option<&'a Outlook<'_>>,
    ) -> impl Iterator<Item = (usize, assign::Candidate)> + use<'a> {
        let among: Vec<_> = indices.iter().map(|at| &service.upstreams[*at]).collect();
        let preferred = self.preferred_upstreams(affinity, &among);
        let miss_cost = miss_cost(affinity, service.mean_call_secs);
        let now = self.now();
        let candidate = move |at: &usize| {
            let upstream = &service.upstreams[*at];
            let candidate = self.candidate(upstream, &preferred, miss_cost);
            let speed = self.expected_speed(upstream, service.least_factor, now);
            let candidate = assign::Candidate { speed, ..candidate };
            let Some(outlook) = outlook else {
                return (*at, candidate);
            };
            let expected = outlook.expect(self.features.prefix_options(), upstream.engine());
            let candidate = assign::Candidate {
                prefill: expected.prefill,
                expected_calls: expected.siblings,
                ..candidate
            };
            (*at, candidate)
        };
        indices.iter().map(candidate)
    }

    /// The upstreams that are probably faster than the others: those that served the session and its program
    /// last; for an object the one with the highest hash of its id and the object (rendezvous hashing), so
    /// that all entries choose the same.
    fn preferred_upstreams(
        &self,
        affinity: &Affinity<'_>,
        among: &[&Upstream],
    ) -> affinity::LastUpstreams {
        let agreed = |object: &SmolStr| {
            let seed = xxh3::xxh3_64(object.as_bytes());
            let agreed = among.iter().max_by_key(|upstream| {
                xxh3::xxh3_64_with_seed(upstream.listed.id.as_bytes(), seed)
            });
            agreed.map(|upstream| upstream.hash)
        };
        match affinity {
            Affinity::None => affinity::LastUpstreams::default(),
            Affinity::Object(object) => affinity::LastUpstreams {
                session: agreed(object),
                program: None,
            },
            Affinity::Prompt { lineage, .. } => self.affinity.last_upstreams(lineage),
        }
    }

    fn candidate(
        &self,
        upstream: &Upstream,
        preferred: &affinity::LastUpstreams,
        miss_cost: Duration,
    ) -> assign::Candidate {
        let this = Some(upstream.hash);
        let miss = if preferred.session == this {
            Duration::ZERO
        } else if preferred.program == this {
            miss_cost / 2
        } else {
            miss_cost
        };
        assign::Candidate {
            slots: upstream.listed.slots,
            own_calls: upstream.own_calls,
            reported_calls: upstream.other_calls,
            expected_calls: 0,
            report_age: upstream.load_updated_at.elapsed(),
            prefill: miss,
            remote: upstream.listed.place != self.place,
            slowness: upstream.pace.slowness(&self.pace, self.now()),
            speed: None,
            failed_ago: upstream.failed_at.map(|at| at.elapsed()),
        }
    }
}

/// The upstreams of `usable` that are not in `avoid`, or all if there are none.
fn prefer_others(
    service: &Service,
    usable: Vec<usize>,
    avoid: &[quarantine::UpstreamHash],
) -> Vec<usize> {
    let is_other = |at: &&usize| {
        let id = &service.upstreams[**at].listed.id;
        !avoid.contains(&quarantine::upstream_hash(id))
    };
    let others: Vec<_> = usable.iter().filter(is_other).copied().collect();
    match others.is_empty() {
        true => usable,
        false => others,
    }
}

/// The additional duration of a call at an upstream that has nothing of it cached; `mean_secs` is the mean
/// duration of the service's calls, in seconds.
fn miss_cost(affinity: &Affinity<'_>, mean_secs: f64) -> Duration {
    match affinity {
        Affinity::None => Duration::ZERO,
        Affinity::Object(_) => Duration::from_secs_f64(mean_secs * AFFINITY_GAIN),
        Affinity::Prompt { tokens, .. } => {
            Duration::from_millis(tokens / u64::from(prefix::PREFILL_TOKENS_PER_MS))
        }
    }
}

/// Bytes of a call and its answer, about.
fn message_bytes(affinity: &Affinity<'_>) -> u32 {
    match affinity {
        Affinity::Prompt { .. } => TURN_BYTES,
        Affinity::Object(_) | Affinity::None => PLAIN_BYTES,
    }
}

/// Slots and calls of the upstreams in the own data centre.
fn near_room(candidates: &[(usize, assign::Candidate)], options: &assign::Options) -> spill::Room {
    let mut near = spill::Room::default();
    for (_, candidate) in candidates.iter().filter(|(_, c)| !c.remote) {
        near.add(candidate.slots, candidate.load(options));
    }
    near
}

/// Counts a call that waited for the upstream with its context, by where it went.
fn count_context_wait(lease: &Lease, preferred: Option<affinity::Upstream>) {
    let outcome = match preferred == Some(lease.engine.id) {
        true => "cached",
        false => "elsewhere",
    };
    metrics::counter!("fw_gate_context_waits_total", "outcome" => outcome).increment(1);
}

fn no_upstream(service: &id::ServiceId, criteria: &Criteria<'_>) -> error::Error {
    let Some(version) = criteria.version else {
        let message = format!("no upstream of `{service}` takes work");
        return error::Error::new(error::Kind::NoUpstream, message);
    };
    let message = format!(
        "the stream began at version `{version}`, of which no upstream of `{service}` takes work"
    );
    error::Error::new(error::Kind::VersionGone, message)
}
