//! Requests whose answer is a series of events, passed on as they come.

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fw_base::{digest, error, id};
use fw_plan::{health, quota};
use fw_replica::{record, server};
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderValue;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::ingress::ms;
use super::{attempt, body, call, events, plain, send, turn};
use crate::process::{gate, quotas};
use crate::version::config;

/// How often a broken stream goes on elsewhere.
const RESUMES: u32 = 3;
/// Pause before a broken stream goes on, so that the upstream has noticed the end of the first.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// A streamed request, with all that its answer needs while it is passed on.
#[derive(Clone, Debug)]
pub struct Job {
    /// Shared state.
    pub gate: Arc<gate::Gate>,
    /// The configuration under which it was accepted.
    pub config: Arc<config::Config>,
    /// The route.
    pub route: config::Route,
    /// The service chosen of the route's.
    pub service: id::ServiceId,
    /// What the request says of itself.
    pub call: call::Call,
    /// The request as it is sent.
    pub out: send::Outbound,
    /// The caller's own input, without the chain before it.
    pub input: Bytes,
    /// What requests like it have in common.
    pub fingerprint: digest::Digest,
    /// When the caller gives up, or the route does.
    pub until: Instant,
    /// Its rank; 0 goes first.
    pub priority: u32,
    /// Its team's limit, if the team has one.
    pub limit: Option<quota::Limit>,
    /// What it took of that, once it was admitted.
    pub credit: Option<Arc<quotas::Credit>>,
}

impl Job {
    /// Takes the turn from its team's quota, and refuses it if a program would begin with it that could
    /// not be in time.
    fn admit(&mut self) -> Result<(), error::Error> {
        let begins = self.attempt().begins();
        let stage = match begins {
            true => quota::Stage::Begins,
            false => quota::Stage::Continues,
        };
        let credit = self.gate.quotas.take(&self.call, self.limit, stage)?;
        self.credit = credit.map(Arc::new);
        match begins {
            true => self.gate.fleet.admit(&self.service, self.priority),
            false => Ok(()),
        }
    }

    fn attempt(&self) -> attempt::Job<'_> {
        attempt::Job {
            gate: &self.gate,
            route: &self.route,
            service: &self.service,
            call: &self.call,
            out: &self.out,
            fingerprint: self.fingerprint,
            until: self.until,
            priority: self.priority,
            credit: self.credit.as_deref(),
        }
    }
}

/// Runs the request; its answer goes on after this returns.
///
/// # Errors
///
/// What to tell the caller when no upstream gave an answer.
pub async fn run(mut job: Job) -> Result<Response<body::Outgoing>, error::Error> {
    let kept = job.route.keep_turns.is_some();
    let mut times = Times::start();
    let mut ready = turn::begin(&job.gate, &job.call, &job.input, kept, job.until).await?;
    // Only now is it known whether the program has had a turn through another entry.
    job.admit()?;
    job.out.body = ready.body;
    times.replicas = times.begun.elapsed();
    let begun = job
        .attempt()
        .run(|begun| std::future::ready(Ok(begun)))
        .await
        .inspect_err(|err| {
            if err.ran() != error::Ran::No {
                ready.turn.broke();
            }
        })?;
    times.head = times.begun.elapsed();
    if !begun.head.status.is_success() {
        let whole = plain::collect(begun, job.until).await;
        let (head, whole) = whole.map_err(|failed| failed.err)?;
        return Ok(plain::passed_on(head, body::Outgoing::from(whole)));
    }
    let (tx, rx) = mpsc::channel(body::PIECES);
    let res = plain::passed_on(begun.head.clone(), body::Outgoing::Pieces(rx));
    let pump = Pump {
        tokens_per_event: job.config.tokens_per_event(&job.service),
        splitter: events::Splitter::default(),
        output: BytesMut::new(),
        last: job.call.resume_after.clone(),
        events: 0,
        turn: Some(ready.turn),
        times,
        job,
        tx,
    };
    tokio::spawn(pump.run(begun));
    Ok(res)
}

/// When what happened of a streamed request, each counted from its begin.
#[derive(Clone, Copy, Debug)]
struct Times {
    begun: Instant,
    /// Its tokens were reserved and its chain was there.
    replicas: Duration,
    /// The upstream had begun to answer.
    head: Duration,
    /// The first event was passed on.
    first: Option<Duration>,
    /// The upstream's answer was whole; what follows is storing the turn.
    whole: Option<Duration>,
}

impl Times {
    /// Nothing but the begin has happened.
    fn start() -> Self {
        Self {
            begun: Instant::now(),
            replicas: Duration::ZERO,
            head: Duration::ZERO,
            first: None,
            whole: None,
        }
    }
}

/// How reading from one upstream ended.
enum Ended {
    /// The stream is complete.
    Complete,
    /// The upstream broke off.
    Broken,
    /// The caller has gone.
    CallerGone,
    /// The time is over.
    Late,
}

/// Passes one answer on.
struct Pump {
    job: Job,
    tokens_per_event: id::Tokens,
    splitter: events::Splitter,
    /// What later turns will be told of this one.
    output: BytesMut,
    /// Id of the last event passed on.
    last: Option<SmolStr>,
    events: u32,
    /// `None` once it is being stored.
    turn: Option<turn::Turn>,
    times: Times,
    tx: mpsc::Sender<Result<Bytes, body::BrokeOff>>,
}

impl Pump {
    async fn run(mut self, begun: send::Begun) {
        let mut begun = begun;
        let mut resumes = 0;
        let mut last_upstream = begun.lease.id.clone();
        let mut why;
        let mut list;
        let mut sent_after;
        let outcome = loop {
            let (upstream, addr) = (begun.lease.id.clone(), begun.lease.addr);
            last_upstream.clone_from(&upstream);
            why = begun.lease.why;
            list = begun.lease.list;
            sent_after = begun.lease.sent_after;
            if let Some(turn) = &mut self.turn {
                turn.runs_at(&upstream);
            }
            let ended = self.pass_on(&mut begun).await;
            match ended {
                Ended::Complete => {
                    self.times.whole = Some(self.times.begun.elapsed());
                    begun.lease.done(self.pause().filter(|_| resumes == 0));
                    let send::Begun { lease, link, .. } = begun;
                    lease.keep_link(link);
                    break self.complete().await;
                }
                Ended::CallerGone => break "caller gone",
                Ended::Late => {
                    self.break_off().await;
                    break "deadline passed";
                }
                Ended::Broken => {
                    begun.lease.seen(health::Observation::Failed);
                    drop(begun);
                    self.job.attempt().suspect(&upstream, addr).await;
                    let next = self.resume(&upstream, &mut resumes).await;
                    let Some(next) = next else {
                        if let Some(turn) = &mut self.turn {
                            turn.broke();
                        }
                        self.break_off().await;
                        break "broken off";
                    };
                    begun = next;
                }
            }
        };
        metrics::counter!("fw_gate_streams_total", "outcome" => outcome).increment(1);
        tracing::info!(
            request = %self.job.call.id,
            program = self.job.call.program.as_deref(),
            route = %self.job.route.name,
            events = self.events,
            resumes,
            outcome,
            deadline_ms = ms(self.job.call.deadline),
            program_left_ms = ms(self.job.call.program_deadline),
            prompt = self.job.call.prompt_tokens,
            most = self.job.call.most_tokens,
            team = self.job.call.team.as_deref(),
            priority = self.job.priority,
            upstream = %last_upstream,
            own = why.own_calls,
            others = why.reported_calls,
            others_age_ms = why.report_age.as_millis() as u64,
            miss_ms = why.prefill.as_millis() as u64,
            slowness = why.slowness,
            list_as_of = list.as_of,
            list_age_ms = ms(list.age),
            sent_after_ms = sent_after.as_millis() as u64,
            replicas_ms = self.times.replicas.as_millis() as u64,
            head_ms = self.times.head.as_millis() as u64,
            first_ms = ms(self.times.first),
            whole_ms = ms(self.times.whole),
            ms = self.times.begun.elapsed().as_millis() as u64,
            "stream ended"
        );
    }

    /// Mean time between two events; `None` if there were not two.
    fn pause(&self) -> Option<Duration> {
        let (first, whole) = (self.times.first?, self.times.whole?);
        let pauses = self.events.checked_sub(1).filter(|pauses| *pauses > 0)?;
        Some((whole - first) / pauses)
    }

    /// Reads from one upstream until its stream ends, one way or the other.
    async fn pass_on(&mut self, begun: &mut send::Begun) -> Ended {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return Ended::CallerGone,
                frame = tokio::time::timeout_at(self.job.until, begun.body.frame()) => frame,
            };
            let Ok(frame) = frame else {
                return Ended::Late;
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    self.splitter.push(&data);
                    if self.splitter.is_too_long() {
                        return Ended::Broken;
                    }
                    if !self.deliver().await {
                        return Ended::CallerGone;
                    }
                }
                None if !self.splitter.has_rest() => return Ended::Complete,
                None | Some(Err(_)) => return Ended::Broken,
            }
        }
    }

    /// Passes whole events on; `false` if the caller has gone.
    async fn deliver(&mut self) -> bool {
        let mut piece = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if self.is_old(event.id.as_ref()) {
                continue;
            }
            if let Some(data) = &event.data {
                self.output.put_slice(data);
                self.output.put_u8(b'\n');
                self.events += 1;
                if let Some(turn) = &mut self.turn {
                    turn.hand_out(self.tokens_per_event);
                }
            }
            if event.id.is_some() {
                self.last = event.id;
            }
            piece.put(event.raw);
        }
        if !piece.is_empty() && self.times.first.is_none() {
            self.times.first = Some(self.times.begun.elapsed());
        }
        piece.is_empty() || self.tx.send(Ok(piece.freeze())).await.is_ok()
    }

    /// Whether an event was passed on before. A stream that goes on at another upstream may begin
    /// with events that the caller has.
    fn is_old(&self, id: Option<&SmolStr>) -> bool {
        let (Some(id), Some(last)) = (id, &self.last) else {
            return false;
        };
        match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id <= last,
            _ => id == last,
        }
    }

    /// Lets a broken stream go on: at the same upstream if it still answers, as it may have what
    /// was read in its cache, or else at another.
    async fn resume(
        &mut self,
        upstream: &id::UpstreamId,
        resumes: &mut u32,
    ) -> Option<send::Begun> {
        if !self.job.route.resumable {
            return None;
        }
        self.splitter = events::Splitter::default();
        let names = &self.job.gate.opts.names;
        if let Some(last) = &self.last {
            let last = HeaderValue::from_str(last).ok()?;
            self.job
                .out
                .headers
                .insert(names.resume_after.clone(), last);
        }
        let mut avoid = Vec::new();
        while *resumes < RESUMES && !self.tx.is_closed() {
            *resumes += 1;
            tokio::time::sleep(RESUME_PAUSE).await;
            let again = self.job.gate.fleet.again(&self.job.service, upstream);
            let lease = match again.filter(|lease| !avoid.contains(&lease.id)) {
                Some(lease) => lease,
                None => {
                    let tries = attempt::Tries {
                        avoid: avoid.clone(),
                        ..attempt::Tries::default()
                    };
                    self.job.attempt().choose(&tries).await.ok()?
                }
            };
            let id = lease.id.clone();
            tracing::info!(request = %self.job.call.id, upstream = %id, after = ?self.last, "stream goes on");
            let attempt = self.job.attempt();
            match attempt.send(lease).await {
                Ok(begun) if begun.head.status.is_success() => return Some(begun),
                Ok(_) => avoid.push(id),
                Err(failed) => {
                    tracing::info!(request = %self.job.call.id, err = %failed.err, "stream cannot go on here");
                    avoid.push(id);
                }
            }
        }
        None
    }

    /// Stores the turn and lets the answer end. An answer whose turn is not stored is broken off:
    /// the caller must not continue a turn that may be lost.
    async fn complete(&mut self) -> &'static str {
        let job = &self.job;
        job.gate.survived(&job.fingerprint);
        let record = job.route.keep_turns.map(|keep| record::Turn {
            id: job.call.turn.clone(),
            parent: job.call.previous.clone(),
            input: job.input.clone(),
            output: std::mem::take(&mut self.output).freeze(),
            ended: server::unix_ms(),
            retention: keep,
        });
        let stored = match self.turn.take() {
            Some(turn) => turn.finish(record).await,
            None => record.is_none(),
        };
        if stored {
            return "complete";
        }
        self.break_off().await;
        "not stored"
    }

    /// Closes the caller's connection, so that the answer does not look complete.
    async fn break_off(&mut self) {
        // A caller that has gone needs no sign.
        let _ = self.tx.send(Err(body::BrokeOff)).await;
    }
}
