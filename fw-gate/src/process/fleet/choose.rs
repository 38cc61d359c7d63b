//! Choosing the upstream of a call: who may get it, what is known of each, and the wait for a place.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fw_base::{error, id};
use fw_plan::{assign, wait_queue};
use fw_replica::affinity;
use parking_lot::Mutex;
use smol_str::SmolStr;
use xxhash_rust::xxh3;

use super::lease::{Lease, Reach, Ticket};
use super::{Fleet, Service, Upstream, Want, Warmth};

/// Prompt tokens that an engine reads in a millisecond, for the order of magnitude of what a lost
/// cache costs; engines of today read some hundred.
const READ_PER_MS: u64 = 100;
/// Part of a call's usual time that an upstream saves which handled the object lately; services
/// of today save a half.
const WARM_GAIN: f64 = 0.5;

/// An upstream that a call may get, as far as it decides whether there is room.
#[derive(Clone, Copy, Debug)]
struct Open {
    short: affinity::Upstream,
    slots: u32,
    load: f64,
}

impl Fleet {
    /// Chooses an upstream of `service`, whether it has a free slot or not.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none may get new work.
    pub fn choose(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        want: &Want<'_>,
    ) -> Result<Lease, error::Error> {
        let service = self.served(service_id)?;
        let picked = self.pick(service_id, &service, want, |_| true)?;
        picked.ok_or_else(|| no_upstream(service_id))
    }

    /// Waits, for some time at most, until an upstream of `service` has room and the call is the first
    /// of those that wait, or one of the first and the upstream has its prompt; chooses one.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none may get new work; `Overloaded` when a program would begin with the
    /// call and those under way need all slots.
    pub async fn acquire(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        want: &Want<'_>,
    ) -> Result<Lease, error::Error> {
        let service = self.served(service_id)?;
        let warm = match &want.warmth {
            Warmth::Prompt { lineage, .. } => self.trail.last_upstreams(lineage).preferred(),
            Warmth::Object(_) | Warmth::None => None,
        };
        let ticket = Ticket::draw(&service, warm, |number| {
            self.hold.rank(&want.hold, self.now(), number)
        });
        let begun = tokio::time::Instant::now();
        while begun.elapsed() < self.hold.max_wait {
            let reach = ticket.may_go(&self.hold);
            let fits = |open: &Open| {
                let warm = Some(open.short) == warm;
                let waited = begun.elapsed();
                let reached = reach == Reach::All || warm;
                reached && self.hold.has_room(open.slots, open.load, warm, waited)
            };
            if reach != Reach::None
                && let Some(lease) = self.pick(service_id, &service, want, fits)?
            {
                metrics::histogram!("fw_gate_held_seconds").record(begun.elapsed().as_secs_f64());
                return Ok(lease);
            }
            // Heard of or not: what is known of the load fades.
            let _ = tokio::time::timeout(self.hold.recheck_interval, ticket.turn.notified()).await;
        }
        drop(ticket);
        metrics::counter!("fw_gate_held_too_long_total").increment(1);
        match self.hold.expire(&want.hold, rand::random()) {
            wait_queue::Expired::Send => self.choose(service_id, want),
            wait_queue::Expired::Refuse(after) => {
                let message = "programs under way need all slots";
                let err = error::Error::new(error::Kind::Overloaded, message);
                Err(err.with_retry_after(after))
            }
        }
    }

    /// Refuses a program of a route of `priority` that would begin while those under way need the upstreams
    /// of `service`.
    ///
    /// *Failure:* a burst brought more programs than the engines could finish, and all began. Each then
    /// took longer, so that more were under way at once than the engines' caches hold; prompts were read
    /// again and again, and nearly none was in time until long after the burst.
    ///
    /// # Errors
    ///
    /// `Overloaded`, with a time to return.
    pub fn admit(&self, service: &id::ServiceId, priority: u32) -> Result<(), error::Error> {
        let Some(known) = self.service(service) else {
            return Ok(());
        };
        let (slots, load) = self.occupancy(&known.lock());
        if self.hold.may_begin(priority, slots, load) {
            return Ok(());
        }
        metrics::counter!("fw_gate_programs_refused_total").increment(1);
        let message = format!("programs under way have {load:.0} calls at {slots:.0} slots");
        let err = error::Error::new(error::Kind::Overloaded, message);
        Err(err.with_retry_after(self.hold.draw_retry_after(rand::random())))
    }

    /// Slots of all upstreams of a service that take calls, and calls that are there or wait here.
    fn occupancy(&self, service: &Service) -> (f64, f64) {
        let usable = self.usable(service, &[]);
        let options = self.weights(service);
        let candidates = self.candidates(service, &usable, &Warmth::None);
        let at = candidates.map(|(_, c)| (f64::from(c.slots), c.load(&options)));
        let waiting = service.waiting.len() as f64;
        at.fold((0.0, waiting), |(slots, load), (more_slots, more)| {
            (slots + more_slots, load + more)
        })
    }

    /// The service of that name.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when no upstream was ever listed for it.
    fn served(&self, id: &id::ServiceId) -> Result<Arc<Mutex<Service>>, error::Error> {
        self.service(id).ok_or_else(|| no_upstream(id))
    }

    /// The best upstream that `fits`, if any does.
    ///
    /// # Errors
    ///
    /// `NoUpstream` when none may get new work.
    fn pick(
        self: &Arc<Self>,
        service_id: &id::ServiceId,
        service: &Arc<Mutex<Service>>,
        want: &Want<'_>,
        fits: impl Fn(&Open) -> bool,
    ) -> Result<Option<Lease>, error::Error> {
        let mut locked = service.lock();
        let usable = self.usable(&locked, want.avoid);
        if usable.is_empty() {
            return Err(no_upstream(service_id));
        }
        let options = self.weights(&locked);
        let (indices, candidates): (Vec<_>, Vec<_>) = self
            .candidates(&locked, &usable, &want.warmth)
            .filter(|(at, c)| {
                fits(&Open {
                    short: locked.upstreams[*at].short,
                    slots: c.slots,
                    load: c.load(&options),
                })
            })
            .unzip();
        let Some(chosen) = assign::choose(&options, &candidates, &mut rand::rng()) else {
            return Ok(None);
        };
        let upstream = &mut locked.upstreams[indices[chosen]];
        let lease = Lease::take(self, service, upstream, candidates[chosen]);
        let upstream = upstream.short;
        drop(locked);
        if let Warmth::Prompt { lineage, .. } = &want.warmth {
            let lineage = lineage.clone();
            self.trail.record(&affinity::Location { lineage, upstream });
        }
        Ok(Some(lease))
    }

    /// Where the upstreams are that may get a call which failed at `avoid`.
    fn usable(&self, service: &Service, avoid: &[id::UpstreamId]) -> Vec<usize> {
        let now = self.now();
        let takes_work = |at: &usize| {
            let upstream = &service.upstreams[*at];
            let replaced = upstream.replaced_until;
            upstream.listed.takes_work && replaced.is_none_or(|until| Instant::now() >= until)
        };
        let listed = (0..service.upstreams.len()).filter(takes_work);
        let is_new = |at: &usize| !avoid.contains(&service.upstreams[*at].listed.id);
        let is_healthy = |at: &usize| {
            let id = &service.upstreams[*at].listed.id;
            service.health.decide(now, id).weight() > 0.0
        };
        let new: Vec<_> = listed.filter(is_new).collect();
        let usable: Vec<_> = new.iter().copied().filter(is_healthy).collect();
        if usable.is_empty() {
            // All ejected: using one is better than using none, also for a call that failed elsewhere.
            return new;
        }
        usable
    }

    /// The weights of the costs, with the service's own time of a call.
    fn weights(&self, service: &Service) -> assign::Options {
        let call = if service.mean > 0.0 {
            Duration::from_secs_f64(service.mean)
        } else {
            self.options.call_duration
        };
        assign::Options {
            call_duration: call,
            ..self.options.clone()
        }
    }

    /// What is known of the upstreams at `indices`.
    fn candidates<'a>(
        &'a self,
        service: &'a Service,
        indices: &'a [usize],
        warmth: &Warmth<'_>,
    ) -> impl Iterator<Item = (usize, assign::Candidate)> + use<'a> {
        let among: Vec<_> = indices.iter().map(|at| &service.upstreams[*at]).collect();
        let warm = self.warm(warmth, &among);
        let cold = cold(warmth, service.mean);
        let candidate = move |at: &usize| {
            let candidate = self.candidate(&service.upstreams[*at], &warm, cold);
            (*at, candidate)
        };
        indices.iter().map(candidate)
    }

    /// The upstreams that are probably faster than the rest: those that served the session and its
    /// program last; for objects the one that all entries agree on, by its hash with the object.
    fn warm(&self, warmth: &Warmth<'_>, among: &[&Upstream]) -> affinity::LastUpstreams {
        let agreed = |object: &SmolStr| {
            let seed = xxh3::xxh3_64(object.as_bytes());
            let agreed = among.iter().max_by_key(|upstream| {
                xxh3::xxh3_64_with_seed(upstream.listed.id.as_bytes(), seed)
            });
            agreed.map(|upstream| upstream.short)
        };
        match warmth {
            Warmth::None => affinity::LastUpstreams::default(),
            Warmth::Object(object) => affinity::LastUpstreams {
                session: agreed(object),
                program: None,
            },
            Warmth::Prompt { lineage, .. } => self.trail.last_upstreams(lineage),
        }
    }

    fn candidate(
        &self,
        upstream: &Upstream,
        warm: &affinity::LastUpstreams,
        cold: Duration,
    ) -> assign::Candidate {
        let this = Some(upstream.short);
        let miss = if warm.session == this {
            Duration::ZERO
        } else if warm.program == this {
            cold / 2
        } else {
            cold
        };
        assign::Candidate {
            slots: upstream.listed.slots,
            own_calls: upstream.own,
            reported_calls: upstream.others,
            report_age: upstream.reported.elapsed(),
            prefill: miss,
            remote: upstream.listed.place != self.place,
            slowness: upstream.pace.slowness(&self.pace, self.now()),
            failed_ago: upstream.failed.map(|at| at.elapsed()),
        }
    }
}

/// How much longer a call takes at an upstream that knows nothing of it; `mean` is the usual time
/// of a call there, in seconds.
fn cold(warmth: &Warmth<'_>, mean: f64) -> Duration {
    match warmth {
        Warmth::None => Duration::ZERO,
        Warmth::Object(_) => Duration::from_secs_f64(mean * WARM_GAIN),
        Warmth::Prompt { tokens, .. } => Duration::from_millis(tokens / READ_PER_MS),
    }
}

fn no_upstream(service: &id::ServiceId) -> error::Error {
    let message = format!("no upstream of `{service}` takes work");
    error::Error::new(error::Kind::NoUpstream, message)
}
