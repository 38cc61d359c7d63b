//! Requests whose answer is a stream of events, which are forwarded as they arrive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fw_base::{error, id};
use fw_http::Room;
use fw_plan::{begin, health, quota, retry, share, stretch};
use fw_replica::{beginnings, client, record, server, service, streams};
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use parking_lot::Mutex;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::ingress::log_ms;
use super::{attempt, body, call, events, plain, refusal, resume, send, turn};
use crate::connection::link;
use crate::process::{first_calls, fleet, gate, held_bytes, memory, quarantine, quotas, traffic};
use crate::version::{config, team};

/// Maximum number of times that a broken stream is resumed.
const MAX_RESUMES: u32 = 3;
/// Pause before a broken stream is resumed, in which the upstream notices the end of the first call.
const RESUME_PAUSE: Duration = Duration::from_millis(20);

/// A streamed request, with everything that is needed to forward its answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Shared state.
    pub gate: Arc<gate::Gate>,
    /// The configuration under which it was accepted.
    pub config: Arc<config::Config>,
    /// The route.
    pub route: config::Route,
    /// The service that was chosen among the route's.
    pub service: id::ServiceId,
    /// The request's decoded headers.
    pub call: call::Call,
    /// The request as sent to upstreams.
    pub out: send::Outbound,
    /// The caller's input, without the chain of turns before it.
    pub input: Bytes,
    /// Fingerprints by which its repetitions and variants are recognised.
    pub identity: fw_plan::quarantine::Identity,
    /// When the caller's deadline or the route's timeout is over.
    pub until: Instant,
    /// The only software version at which it may run: that at which the stream began, if it has.
    pub version: Option<streams::Version>,
    /// Its priority; 0 is the highest.
    pub priority: u32,
    /// Its team, if callers have teams.
    pub team: Option<team::Team>,
    /// Its charge to the quota, once it is admitted.
    pub permit: Option<Arc<quotas::Permit>>,
    /// Set until it is prepared, if it is one of the first calls after the entry's start.
    pub first_call: Option<Arc<first_calls::Preparing>>,
    /// Account of the bytes held for the caller, if they are bounded.
    pub account: Option<Arc<held_bytes::Account>>,
    /// What the entry holds for it.
    pub held: Arc<Mutex<memory::Request>>,
}

impl Job {
    /// Charges the turn to its team's quota, and refuses it if it would begin a program that could not be
    /// finished in time.
    fn admit(&mut self, details: &mut refusal::Details) -> Result<(), error::Error> {
        let begins = self.attempt().begins_program();
        let (stage, label) = match begins {
            true => (quota::Stage::Begins, "begins"),
            false => (quota::Stage::Continues, "continues"),
        };
        details.stage = Some(label);
        let limit = self.team.as_ref().and_then(|team| team.quota);
        let permit = self.gate.quotas.acquire(&self.call, limit, stage)?;
        self.permit = permit.map(Arc::new);
        if !begins {
            return Ok(());
        }
        let fleet = &self.gate.fleet;
        if fleet.features.fair_admission() {
            details.standing = self.standing();
        }
        let req = begin::Request {
            level: self.priority,
            time_left: self.call.program_deadline,
            standing: details.standing,
            waited: self.attempt().waited(),
            deadline: self.call.deadline,
        };
        let admitted = fleet.admit_program(&self.service, &req);
        admitted.map_err(|refused| details.take(refused))
    }

    /// Use and fair share of the team, if they are known.
    fn standing(&self) -> Option<share::Standing> {
        let (gate, team) = (&self.gate, self.team.as_ref()?);
        let opts = &gate.fleet.features.begin_options().share;
        let teams = self.config.teams.as_ref()?.all();
        gate.shares.standing(opts, &gate.quotas, teams, team)
    }

    /// Leases `upstream`, at which the stream broke, once more, if the stream may go on there.
    fn lease_again(&self, upstream: &id::UpstreamId) -> Option<fleet::Lease> {
        let fleet = &self.gate.fleet;
        fleet.lease_again(&self.service, upstream, self.version.as_ref())
    }

    fn attempt(&self) -> attempt::Job<'_> {
        attempt::Job {
            gate: &self.gate,
            route: &self.route,
            service: &self.service,
            call: &self.call,
            out: &self.out,
            identity: self.identity,
            until: self.until,
            version: self.version.as_ref(),
            priority: self.priority,
            permit: self.permit.as_deref(),
        }
    }
}

/// Runs the request and returns its answer, whose body is still being forwarded.
///
/// # Errors
///
/// The error for the caller when no upstream answered.
pub async fn run(
    mut job: Job,
    details: &mut refusal::Details,
) -> Result<Response<body::Outgoing>, error::Error> {
    let kept = job.route.keep_turns.is_some();
    let mut times = Times::start();
    if let Some(origin) = resume::origin(&job.gate, &job.route, &job.call).await? {
        job.service = origin.service;
        job.version = Some(origin.version);
    }
    let recording = resume::recording(&job.gate, &job.route, &job.call, &job.identity).await?;
    let mut ready = turn::begin(&job.gate, &job.call, &job.input, kept, job.until).await?;
    // The replicas' reply has shown whether the program has had a turn through another entry.
    job.admit(details)?;
    job.first_call = None;
    job.held.lock().set_body(job.input.len() + ready.body.len());
    job.out.body = ready.body;
    times.prepared = times.started_at.elapsed();
    let answered = job
        .attempt()
        .run(|response| std::future::ready(Ok(response)))
        .await
        .inspect_err(|err| {
            if err.ran() != error::Ran::No {
                ready.turn.mark_broken();
            }
        })?;
    let (response, permit) = (answered.answer, answered.permit);
    times.head = times.started_at.elapsed();
    if !response.head.status.is_success() {
        let collected = plain::collect(&job.gate.memory, response, job.until).await;
        let (head, whole, room) = collected.map_err(|failed| failed.err)?;
        permit.record_answer(head.status);
        return Ok(plain::forwarded(head, plain::outgoing(whole, room)));
    }
    let (tx, rx) = mpsc::channel(body::MAX_BUFFERED_CHUNKS);
    let chunks = body::Chunks {
        rx,
        account: job.account.clone(),
    };
    let res = plain::forwarded(response.head.clone(), body::Outgoing::Chunks(chunks));
    let mut forwarder = Forwarder {
        tokens_per_event: job.config.tokens_per_event(&job.service),
        splitter: events::Splitter::default(),
        partial: job.gate.memory.answer(),
        output: BytesMut::new(),
        unrecorded: BytesMut::new(),
        recording: None,
        last_event_id: job.call.resume_after.clone(),
        events: 0,
        turn: Some(ready.turn),
        permit: Some(permit),
        ran_before: answered.ran_before,
        ran_at: vec![response.lease.id.clone()],
        times,
        job,
        tx,
    };
    if let Some(recording) = recording {
        forwarder.record_to(recording);
    }
    tokio::spawn(forwarder.run(response));
    Ok(res)
}

/// Times of the steps of a streamed request, each since its start.
#[derive(Clone, Copy, Debug)]
struct Times {
    started_at: Instant,
    /// Its tokens were reserved and its chain was complete.
    prepared: Duration,
    /// The upstream had begun to answer.
    head: Duration,
    /// The first event was forwarded.
    first_event: Option<Duration>,
    /// The upstream's answer was complete; then the turn is stored.
    complete: Option<Duration>,
    /// Time for which the caller did not read, so that events were not taken from the upstream.
    blocked: Duration,
}

impl Times {
    /// The times of a request that starts now.
    fn start() -> Self {
        Self {
            started_at: Instant::now(),
            prepared: Duration::ZERO,
            head: Duration::ZERO,
            first_event: None,
            complete: None,
            blocked: Duration::ZERO,
        }
    }

    /// Times of the upstream's answer of `events`, once it is complete.
    fn timing(&self, events: u32) -> Option<stretch::Timing> {
        let (first, complete) = (self.first_event?, self.complete?);
        Some(stretch::Timing {
            first: first.saturating_sub(self.prepared),
            rest: complete.saturating_sub(first + self.blocked),
            intervals: events.saturating_sub(1),
        })
    }
}

/// How forwarding the events that have arrived ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Forwarded {
    /// They are with the caller's connection.
    Done,
    /// The caller has disconnected.
    CallerGone,
    /// The turn's output is longer than the entry can hold until the turn is stored.
    TooLong,
}

/// How reading from one upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ended {
    /// The stream is complete.
    Complete,
    /// The connection to the upstream broke.
    Broken,
    /// The upstream sent something that is no stream of events, or cannot be held.
    Spoiled,
    /// The caller has disconnected.
    CallerGone,
    /// The deadline has passed.
    DeadlinePassed,
    /// The turn's output is longer than the entry can hold until the turn is stored.
    TooLong,
}

/// Counts events by whether `f + 1` replicas had them on record before the caller got them.
fn count_recorded(is_recorded: bool) {
    let outcome = if is_recorded {
        "confirmed"
    } else {
        "unconfirmed"
    };
    metrics::counter!("fw_gate_recorded_events_total", "outcome" => outcome).increment(1);
}

/// Forwards one answer to its caller.
struct Forwarder {
    job: Job,
    tokens_per_event: id::Tokens,
    splitter: events::Splitter,
    /// What the entry holds for an incomplete event.
    partial: memory::Answer,
    /// Data of the events so far, which later turns get as this turn's output; empty if turns are not kept.
    output: BytesMut,
    /// The part of `output` since the last event with an id.
    unrecorded: BytesMut,
    /// The record of the events, if the stream may be taken up and its turn is kept.
    recording: Option<Arc<client::beginnings::Recording>>,
    /// Id of the last event forwarded.
    last_event_id: Option<SmolStr>,
    events: u32,
    /// `None` once it is being stored.
    turn: Option<turn::Turn>,
    /// Permit of the attempt that is being forwarded.
    permit: Option<quarantine::Permit>,
    /// Number of attempts before the answer began that have run or may have run.
    ran_before: u32,
    /// Upstreams at which the stream has run since, but for those that have crashed.
    ran_at: Vec<id::UpstreamId>,
    times: Times,
    tx: mpsc::Sender<Result<Bytes, body::Interrupted>>,
}

impl Forwarder {
    async fn run(mut self, response: send::OpenResponse) {
        let mut response = response;
        let mut resumes = 0;
        let mut last_upstream = response.lease.id.clone();
        let mut version;
        let mut candidate;
        let mut list_state;
        let mut sent_after;
        let mut stated_factor;
        let outcome = loop {
            let (at, addr) = (response.lease.incarnation(), response.lease.addr);
            last_upstream.clone_from(&at.upstream);
            version = response.lease.version.clone();
            candidate = response.lease.candidate;
            list_state = response.lease.list_state;
            sent_after = response.lease.sent_after;
            stated_factor = response.lease.stated_factor;
            if let Some(turn) = &mut self.turn {
                turn.set_upstream(&response.lease);
            }
            let ended = self.forward(&mut response).await;
            match ended {
                Ended::Complete => {
                    self.times.complete = Some(self.times.started_at.elapsed());
                    response
                        .lease
                        .complete(self.mean_event_interval().filter(|_| resumes == 0));
                    let timing = self.times.timing(self.events);
                    if let Some(timing) = timing.filter(|_| resumes == 0) {
                        response.lease.record_timing(&timing);
                    }
                    let send::OpenResponse { lease, link, .. } = response;
                    lease.keep_link(link);
                    break self.complete().await;
                }
                Ended::CallerGone => {
                    let account = self.job.account.as_ref();
                    break match account.is_some_and(|account| account.is_ended()) {
                        true => "slow reader",
                        false => "caller gone",
                    };
                }
                Ended::DeadlinePassed => {
                    self.abort().await;
                    break "deadline passed";
                }
                Ended::TooLong => {
                    if let Some(turn) = &mut self.turn {
                        turn.mark_broken();
                    }
                    self.abort().await;
                    break "too long";
                }
                Ended::Broken | Ended::Spoiled => {
                    response.lease.record_health(health::Observation::Failed);
                    drop(response);
                    // An upstream that sends nonsense has not crashed.
                    let permit = self.permit.take().filter(|_| ended == Ended::Broken);
                    if let Some(permit) = permit {
                        self.check_crash(permit, &at, addr).await;
                    }
                    let next = self.resume(&at.upstream, &mut resumes).await;
                    let Some(next) = next else {
                        if let Some(turn) = &mut self.turn {
                            turn.mark_broken();
                        }
                        self.abort().await;
                        break "broken off";
                    };
                    response = next;
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
            deadline_ms = log_ms(self.job.call.deadline),
            program_left_ms = log_ms(self.job.call.program_deadline),
            prompt = self.job.call.prompt_tokens,
            most = self.job.call.max_tokens,
            team = self.job.call.team.as_deref(),
            priority = self.job.priority,
            upstream = %last_upstream,
            remote = candidate.remote,
            %version,
            resume_after = self.job.call.resume_after.as_deref(),
            resumed_stream = self.job.call.resumed_stream.as_deref(),
            own = candidate.own_calls,
            others = candidate.reported_calls,
            others_age_ms = candidate.report_age.as_millis() as u64,
            miss_ms = candidate.prefill.as_millis() as u64,
            slowness = candidate.slowness,
            factor = candidate.speed.map(|expected| expected.factor),
            factor_age_ms = log_ms(candidate.speed.and_then(|expected| expected.age)),
            stated_factor,
            list_as_of = list_state.as_of,
            list_age_ms = log_ms(list_state.age),
            sent_after_ms = sent_after.as_millis() as u64,
            replicas_ms = self.times.prepared.as_millis() as u64,
            head_ms = self.times.head.as_millis() as u64,
            first_ms = log_ms(self.times.first_event),
            whole_ms = log_ms(self.times.complete),
            ms = self.times.started_at.elapsed().as_millis() as u64,
            "stream ended"
        );
    }

    /// Mean time between two events; `None` for fewer than two.
    fn mean_event_interval(&self) -> Option<Duration> {
        let (first, complete) = (self.times.first_event?, self.times.complete?);
        let intervals = self
            .events
            .checked_sub(1)
            .filter(|intervals| *intervals > 0)?;
        Some((complete - first) / intervals)
    }

    /// Reads from one upstream and forwards its events until its stream ends or breaks.
    async fn forward(&mut self, response: &mut send::OpenResponse) -> Ended {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.tx.closed() => return Ended::CallerGone,
                frame = tokio::time::timeout_at(self.job.until, response.body.frame()) => frame,
            };
            let Ok(frame) = frame else {
                return Ended::DeadlinePassed;
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    response
                        .lease
                        .count_bytes(traffic::Kind::Answer, data.len());
                    self.splitter.push(&data);
                    if self.splitter.is_too_long() {
                        return Ended::Spoiled;
                    }
                    match self.forward_events(&response.lease.version).await {
                        Forwarded::Done => {}
                        Forwarded::CallerGone => return Ended::CallerGone,
                        Forwarded::TooLong => return Ended::TooLong,
                    }
                    if !self.partial.resize(self.splitter.len()) {
                        return Ended::Spoiled;
                    }
                }
                None if !self.splitter.has_partial() => return Ended::Complete,
                Some(Err(err)) if link::is_unreadable(&err) => return Ended::Spoiled,
                None | Some(Err(_)) => return Ended::Broken,
            }
        }
    }

    /// Records the events from now on; those on record are a part of the turn's output.
    fn record_to(&mut self, recording: Arc<client::beginnings::Recording>) {
        self.output = recording.output();
        self.job.held.lock().add_output(2 * self.output.len());
        self.recording = Some(recording);
    }

    /// Adds the data of an event to the turn's output, if that is kept; `false` if there is no room for them.
    fn keep_output(&mut self, data: &[u8]) -> bool {
        if self.job.route.keep_turns.is_none() {
            return true;
        }
        let copies = if self.recording.is_some() { 2 } else { 1 };
        let bytes = copies * (data.len() + 1);
        let is_short = self.output.len() + data.len() < plain::MAX_ANSWER_BYTES;
        let mut held = self.job.held.lock();
        if !is_short || !held.has_room(bytes) {
            return false;
        }
        held.add_output(bytes);
        drop(held);
        self.output.put_slice(data);
        self.output.put_u8(b'\n');
        true
    }

    /// Adds an event to the record. The turn's output had `known` bytes before it.
    fn record(&mut self, id: Option<&SmolStr>, known: usize) {
        let Some(recording) = &self.recording else {
            return;
        };
        let output = self.output.get(known..).unwrap_or_default();
        self.unrecorded.put_slice(output);
        if let Some(id) = id {
            recording.add(beginnings::Event {
                id: id.clone(),
                output: self.unrecorded.split().freeze(),
            });
        }
    }

    /// Forwards complete events from an upstream of `version`.
    async fn forward_events(&mut self, version: &streams::Version) -> Forwarded {
        let mut chunk = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            if self.is_duplicate(event.id.as_ref()) {
                continue;
            }
            let known = self.output.len();
            if let Some(data) = &event.data {
                if !self.keep_output(data) {
                    return Forwarded::TooLong;
                }
                self.events += 1;
                if let Some(turn) = &mut self.turn {
                    turn.add_tokens(self.tokens_per_event);
                }
            }
            self.record(event.id.as_ref(), known);
            if event.id.is_some() {
                self.last_event_id = event.id;
            }
            chunk.put(event.raw);
        }
        if !chunk.is_empty() && self.times.first_event.is_none() {
            self.times.first_event = Some(self.times.started_at.elapsed());
            self.bind(version);
        }
        if let Some(recording) = &self.recording {
            let is_recorded = self.job.gate.replicas.record_events(recording).await;
            count_recorded(is_recorded);
        }
        let forwarded =
            chunk.is_empty() || self.hold(chunk.len()).await && self.send(chunk.freeze()).await;
        match forwarded {
            true => Forwarded::Done,
            false => Forwarded::CallerGone,
        }
    }

    /// Waits until `bytes` more may be held for the caller; `false` if it has disconnected meanwhile.
    async fn hold(&self, bytes: usize) -> bool {
        let Some(account) = &self.job.account else {
            return true;
        };
        tokio::select! {
            () = self.tx.closed() => false,
            () = account.hold(bytes) => true,
        }
    }

    /// Sends a part of the answer; `false` if the caller has disconnected.
    async fn send(&mut self, chunk: Bytes) -> bool {
        let chunk = match self.tx.try_send(Ok(chunk)) {
            Err(mpsc::error::TrySendError::Full(chunk)) => chunk,
            sent => return sent.is_ok(),
        };
        let blocked_at = Instant::now();
        let sent = self.tx.send(chunk).await;
        self.times.blocked += blocked_at.elapsed();
        sent.is_ok()
    }

    /// Binds the stream to the software version of its first event, which other entries have to know when its
    /// caller takes it up.
    fn bind(&mut self, version: &streams::Version) {
        let job = &mut self.job;
        job.version.get_or_insert_with(|| version.clone());
        if job.route.resumable {
            job.gate.replicas.record_stream(&service::StreamBegun {
                stream: job.call.turn.clone(),
                origin: streams::Origin {
                    service: job.service.clone(),
                    version: version.clone(),
                },
            });
        }
    }

    /// Whether an event was forwarded before. A stream that is resumed at another upstream may begin with
    /// events that the caller already has.
    fn is_duplicate(&self, id: Option<&SmolStr>) -> bool {
        let (Some(id), Some(last)) = (id, &self.last_event_id) else {
            return false;
        };
        match (id.parse::<u64>(), last.parse::<u64>()) {
            (Ok(id), Ok(last)) => id <= last,
            _ => id == last,
        }
    }

    /// Checks whether the upstream at which an attempt broke has crashed.
    async fn check_crash(
        &mut self,
        permit: quarantine::Permit,
        at: &fw_plan::quarantine::Incarnation,
        addr: SocketAddr,
    ) {
        if self.job.attempt().check_crash(permit, at, addr).await {
            self.ran_at.retain(|ran| *ran != at.upstream);
        }
    }

    /// Checks whether an upstream that could not be reached has ended.
    async fn check_ended(&mut self, at: &fw_plan::quarantine::Incarnation, addr: SocketAddr) {
        if self.job.attempt().has_ended(at, addr).await {
            self.ran_at.retain(|ran| *ran != at.upstream);
        }
    }

    /// Records that the stream has run at an upstream.
    fn note_ran(&mut self, upstream: &id::UpstreamId) {
        if !self.ran_at.contains(upstream) {
            self.ran_at.push(upstream.clone());
        }
    }

    /// Whether the stream may run at one more upstream. Those that have crashed do not count.
    fn may_run_elsewhere(&self) -> bool {
        let ran_at = u32::try_from(self.ran_at.len()).unwrap_or(u32::MAX);
        self.ran_before.saturating_add(ran_at) < self.job.route.attempts
    }

    /// Leases the upstream at which a stream that broke at `upstream` goes on, but at those in `avoid` only if it
    /// may run nowhere else.
    async fn lease_next(
        &self,
        upstream: &id::UpstreamId,
        avoid: &[id::UpstreamId],
        permit: &quarantine::Permit,
    ) -> Option<fleet::Lease> {
        let again = self.ran_at.contains(upstream);
        let again = again.then(|| self.job.lease_again(upstream)).flatten();
        let is_refused = avoid.contains(upstream);
        if again.is_some() && (!is_refused || !self.may_run_elsewhere()) {
            return again;
        }
        if !self.may_run_elsewhere() {
            metrics::counter!("fw_gate_given_up_total", "reason" => retry::Reason::Attempts.label())
                .increment(1);
            return None;
        }
        let attempts = attempt::Attempts {
            avoid: avoid.to_vec(),
            ..attempt::Attempts::default()
        };
        let attempt = self.job.attempt();
        attempt.choose(&attempts, permit).await.ok()
    }

    /// Resumes a broken stream: at the same upstream if it still answers, since it may have the prompt in its
    /// KV cache, or else at another.
    async fn resume(
        &mut self,
        upstream: &id::UpstreamId,
        resumes: &mut u32,
    ) -> Option<send::OpenResponse> {
        if !self.job.route.resumable {
            return None;
        }
        self.splitter = events::Splitter::default();
        let names = &self.job.gate.opts.names;
        if let Some(last) = &self.last_event_id {
            let last = HeaderValue::from_str(last).ok()?;
            self.job
                .out
                .headers
                .insert(names.resume_after.clone(), last);
        }
        let mut avoid = Vec::new();
        while *resumes < MAX_RESUMES && !self.tx.is_closed() {
            *resumes += 1;
            tokio::time::sleep(RESUME_PAUSE).await;
            let permit = self.job.attempt().permit().await.ok()?;
            let lease = self.lease_next(upstream, &avoid, &permit).await?;
            let (at, addr) = (lease.incarnation(), lease.addr);
            let version = lease.version.clone();
            tracing::info!(request = %self.job.call.id, broke_at = %upstream, upstream = %at.upstream, started_at = at.started_at, %version, after = ?self.last_event_id, "resuming the stream");
            let sent = self.job.attempt().send(lease).await;
            let has_run = sent
                .as_ref()
                .map_or_else(|failed| failed.err.ran() != error::Ran::No, |_| true);
            if has_run {
                self.note_ran(&at.upstream);
            }
            match sent {
                Ok(response) if response.head.status.is_success() => {
                    self.permit = Some(permit);
                    return Some(response);
                }
                Ok(_) => {}
                Err(failed) => {
                    if failed.connection_broke {
                        self.check_crash(permit, &at, addr).await;
                    } else if failed.err.kind == error::Kind::UpstreamUnreachable {
                        // It may have closed its connections before its listening socket.
                        self.check_ended(&at, addr).await;
                    }
                    tracing::info!(request = %self.job.call.id, err = %failed.err, "the stream cannot be resumed at this upstream");
                }
            }
            avoid.push(at.upstream);
        }
        None
    }

    /// Stores the turn and ends the answer. If the turn cannot be stored the answer is aborted: the caller
    /// must not continue a turn that may be lost.
    async fn complete(&mut self) -> &'static str {
        let job = &self.job;
        if let Some(permit) = self.permit.take() {
            permit.record_answer(StatusCode::OK);
        }
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
        self.abort().await;
        "not stored"
    }

    /// Closes the caller's connection, so that the answer does not appear complete.
    async fn abort(&mut self) {
        // Fails only if the caller has disconnected already.
        let _ = self.tx.send(Err(body::Interrupted)).await;
    }
}
