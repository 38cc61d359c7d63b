//! Handling of a caller's request, from its head to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_base::{digest, error};
use fw_plan::{quarantine, quota, staleness, start_order, wait_queue};
use http_body_util::LengthLimitError;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{HeaderMap, Request, Response, Uri};
use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::Instant;

use super::{answer, attempt, auth, body, call, plain, refusal, send, stream};
use crate::names;
use crate::process::{first_calls, gate, held_bytes, memory, startup};
use crate::version::{config, team};

/// When a caller may return whose body of unknown length found no room: bodies arrive within a second.
const BODY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Answers one request. Dropping the future, as happens when the caller closes its connection, cancels all
/// work for it.
pub async fn handle(gate: Arc<gate::Gate>, req: Request<Incoming>) -> Response<body::Outgoing> {
    let started = Instant::now();
    gate.startup.reach(startup::Step::FirstCall);
    let names = &gate.opts.names;
    let id = req.headers().get(&names.request_id).cloned();
    let program = req.headers().get(&names.program).cloned();
    let deadline = req.headers().get(&names.deadline_ms).cloned();
    let program_left = req.headers().get(&names.program_deadline_ms).cloned();
    let mut details = refusal::Details::default();
    let mut res = match serve(&gate, req, started, &mut details).await {
        Ok(res) => {
            let replicas = || gate.replicas.majority_reached_at();
            gate.startup.call_served(replicas, started.elapsed());
            res
        }
        Err(err) => {
            let headers = [&id, &program, &deadline, &program_left];
            let headers = headers.map(|value| value.as_ref()?.to_str().ok());
            details.log(headers, &err, started.elapsed());
            let mut res = answer::of_error(&err);
            if let Some(id) = id {
                res.headers_mut()
                    .insert(gate.opts.names.request_id.clone(), id);
            }
            res
        }
    };
    metrics::histogram!("fw_gate_head_seconds").record(started.elapsed().as_secs_f64());
    if gate.is_stopping() {
        let close = HeaderValue::from_static("close");
        res.headers_mut().insert(header::CONNECTION, close);
    }
    res
}

/// Milliseconds for a log line; -1 for no time.
pub(super) fn log_ms(time: Option<Duration>) -> i64 {
    time.map_or(-1, |time| time.as_millis() as i64)
}

async fn serve(
    gate: &Arc<gate::Gate>,
    req: Request<Incoming>,
    started: Instant,
    details: &mut refusal::Details,
) -> Result<Response<body::Outgoing>, error::Error> {
    let (head, body) = req.into_parts();
    let mut held = admit(gate, &head)?;
    let first_call = gate.enter_first_calls(|| start_class(&gate.opts.names, &head.headers));
    let active = active_config(gate, first_call.as_deref()).await;
    let gate::ActiveConfig {
        config,
        key_freshness,
    } = active
        .ok_or_else(|| error::Error::new(error::Kind::NotReady, "no configuration received yet"))?;
    details.config_version = Some(config.version);
    details.config_age = gate.config_age();
    let host = host(&head.headers, &head.uri);
    let route = config.route(host, head.uri.path()).ok_or_else(|| {
        let message = format!(
            "no route matches host `{host}` and path `{}`",
            head.uri.path()
        );
        error::Error::new(error::Kind::UnknownRoute, message)
    })?;
    details.route = Some(route.name.clone());
    let team = team(&config, key_freshness, route, &head.headers)?;
    details.team = team.map(|team| team.name.clone());
    let names = &gate.opts.names;
    let mut call = call::Call::read(names, &head.headers)?;
    if let Some(team) = team {
        call = call.scoped_to(&team.name);
    }
    let limit = team.and_then(|team| team.quota);
    let timeout = call.deadline.unwrap_or(route.timeout).min(route.timeout);
    let until = started + timeout;
    let input = read_body(body, config.limits.body_bytes, until, &mut held).await?;
    held.set_body(input.len());
    let service = route
        .service(rand::rng().random())
        .ok_or_else(|| error::Error::new(error::Kind::NoUpstream, "the route has no service"))?;
    let out = outbound(gate, &head, &call, config.teams.is_some(), input.clone())?;
    let identity = identity(&call, host, &head, &input);
    let priority = priority(gate, team, route);
    details.priority = Some(priority);
    let end = head.extensions.get::<held_bytes::ConnectionEnd>();
    let account = end.map(|end| gate.held.open(call.id.clone(), end.clone()));
    if route.kind == config::Kind::Stream {
        let job = stream::Job {
            gate: Arc::clone(gate),
            route: route.clone(),
            service: service.clone(),
            config: Arc::clone(&config),
            call,
            out,
            input,
            identity,
            until,
            version: None,
            priority,
            team: team.cloned(),
            permit: None,
            first_call,
            account,
            held: Arc::new(Mutex::new(held)),
        };
        return stream::run(job, details).await;
    }
    drop(first_call);
    details.stage = Some("plain");
    let permit = gate.quotas.acquire(&call, limit, quota::Stage::Continues)?;
    let job = attempt::Job {
        gate,
        route,
        service,
        call: &call,
        out: &out,
        identity,
        until,
        version: None,
        priority,
        permit: permit.as_ref(),
    };
    plain::run(&job, account).await
}

/// The configuration in force, once the call's turn has come if it is one of the first after the start.
async fn active_config(
    gate: &gate::Gate,
    first_call: Option<&first_calls::Preparing>,
) -> Option<gate::ActiveConfig> {
    if let Some(first_call) = first_call {
        gate.await_config().await?;
        first_call.wait_turn().await;
    }
    gate.await_active_config().await
}

/// Whether a call begins a program, by its headers alone.
fn begins_program(names: &names::HeaderNames, headers: &HeaderMap) -> bool {
    let marks = [&names.previous, &names.resume_after, &names.resumed_stream];
    // Only turns state a number of tokens; a program's other calls come between its turns.
    let is_turn = headers.contains_key(&names.tokens);
    is_turn && !marks.into_iter().any(|name| headers.contains_key(name))
}

/// Takes the request on, if the entry has room for what it would hold.
///
/// # Errors
///
/// `Overloaded` when it has not.
fn admit(
    gate: &gate::Gate,
    head: &hyper::http::request::Parts,
) -> Result<memory::Request, error::Error> {
    let names = &gate.opts.names;
    let body = announced_body(&head.headers, &limits(gate));
    let deadline = number(&head.headers, &names.deadline_ms).map(Duration::from_millis);
    gate.admit_request(begins_program(names, &head.headers), body, deadline)
}

/// Bytes of the body that is announced, as far as it is read: a longer one is refused, and must not use up the
/// budget until then.
pub fn announced_body(headers: &HeaderMap, limits: &config::Limits) -> usize {
    let announced = number(headers, &header::CONTENT_LENGTH).unwrap_or(0);
    let announced = usize::try_from(announced).unwrap_or(usize::MAX);
    announced.min(limits.body_bytes)
}

fn number(headers: &HeaderMap, name: &header::HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.trim().parse().ok()
}

/// The class of a call by its headers alone, since a call is ordered before there is a configuration.
pub fn start_class(names: &names::HeaderNames, headers: &HeaderMap) -> start_order::Class {
    let continues = !begins_program(names, headers);
    let left = number(headers, &names.program_deadline_ms);
    start_order::class(continues, left.map(Duration::from_millis))
}

/// Priority of a request; 0 is the most urgent. The team's goes before the route's: where programs are admitted
/// by fair shares and feasibility it is compared first, and elsewhere it is the only one that counts.
fn priority(gate: &gate::Gate, team: Option<&team::Team>, route: &config::Route) -> u32 {
    let team = team.and_then(|team| team.priority);
    if gate.fleet.features.fair_admission() {
        return wait_queue::level(team.unwrap_or(0), route.priority);
    }
    team.unwrap_or(route.priority)
}

/// Authenticates a request and returns its team; `None` if it needs none.
fn team<'a>(
    config: &'a config::Config,
    key_freshness: staleness::Outcome,
    route: &config::Route,
    headers: &HeaderMap,
) -> Result<Option<&'a team::Team>, error::Error> {
    if let staleness::Outcome::Stale { age } = key_freshness
        && config.teams.is_some()
        && !route.is_open
    {
        let message = format!(
            "API keys cannot be checked: the configuration was not confirmed recently enough (age: {age:?})"
        );
        return Err(error::Error::new(error::Kind::StaleKeys, message));
    }
    auth::team(config, route, headers).map_err(|refusal| {
        metrics::counter!("fw_gate_unauthorized_total", "reason" => refusal.label()).increment(1);
        refusal.into()
    })
}

/// The host that the request is addressed to, without the port.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let named = headers.get(header::HOST);
    let named = named.and_then(|value| value.to_str().ok());
    let host = uri.host().or(named).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(host, _port)| host)
}

/// Reads the whole body of a request.
async fn read_body(
    body: Incoming,
    max_bytes: usize,
    until: Instant,
    held: &mut memory::Request,
) -> Result<Bytes, error::Error> {
    let whole = fw_http::read_whole(body, max_bytes, held);
    match tokio::time::timeout_at(until, whole).await {
        Ok(Ok(whole)) => Ok(whole),
        Ok(Err(err)) if err.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {max_bytes} bytes");
            Err(error::Error::new(error::Kind::BodyTooLarge, message))
        }
        Ok(Err(err)) if err.is::<fw_http::NoRoom>() => {
            let message = format!("the body is not taken on: {err}");
            let err = error::Error::new(error::Kind::Overloaded, message);
            Err(err.with_retry_after(BODY_RETRY_AFTER))
        }
        Ok(Err(err)) => {
            let message = format!("the body cannot be read: {err}");
            Err(error::Error::new(error::Kind::BadRequest, message))
        }
        Err(_) => {
            let message = "the body did not arrive in time";
            let err = error::Error::new(error::Kind::SlowRequest, message);
            Err(err.with_retry_after(Duration::from_millis(100)))
        }
    }
}

/// The request as sent to upstreams.
fn outbound(
    gate: &gate::Gate,
    head: &hyper::http::request::Parts,
    call: &call::Call,
    has_teams: bool,
    body: Bytes,
) -> Result<send::Outbound, error::Error> {
    let names = &gate.opts.names;
    let bad = |part: &str| error::Error::new(error::Kind::BadRequest, format!("bad {part}"));
    let id = HeaderValue::from_str(&call.id).map_err(|_| bad("request id"))?;
    let path = head.uri.path_and_query().ok_or_else(|| bad("path"))?;
    let mut headers = head.headers.clone();
    call::strip_hop_by_hop(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    for name in &names.reserved {
        headers.remove(name);
    }
    if has_teams {
        headers.remove(header::AUTHORIZATION);
        headers.remove(&names.team);
    }
    if let Some(team) = &call.team {
        let team = HeaderValue::from_bytes(team.as_bytes()).map_err(|_| bad("team name"))?;
        headers.insert(names.team.clone(), team);
    }
    if !headers.contains_key(header::HOST)
        && let Some(host) = head.uri.authority()
        && let Ok(host) = HeaderValue::from_str(host.as_str())
    {
        headers.insert(header::HOST, host);
    }
    Ok(send::Outbound {
        method: head.method.clone(),
        uri: Uri::from(path.clone()),
        headers,
        body,
        id,
    })
}

/// Fingerprints by which repetitions and variants of a request are recognised.
///
/// On a route that keeps turns, the body is the new input alone: the prompt also depends on the turn that is
/// continued. Repetitions are known to share team, path and body.
pub fn identity(
    call: &call::Call,
    host: &str,
    head: &hyper::http::request::Parts,
    body: &Bytes,
) -> quarantine::Identity {
    let team = call.team.as_deref().unwrap_or_default();
    let method = head.method.as_str();
    let path = head.uri.path();
    let path_and_query = head.uri.path_and_query();
    let path_and_query = path_and_query.map_or(path, |both| both.as_str());
    let previous = call.previous.as_deref().unwrap_or_default();
    quarantine::Identity {
        path: fingerprint(&["path", team, method, host, path], &[]),
        body: fingerprint(&["body", team, method, host, path], body),
        request: fingerprint(&[team, method, host, path_and_query, previous], body),
    }
}

fn fingerprint(parts: &[&str], body: &[u8]) -> quarantine::Fingerprint {
    let mut bytes = Vec::with_capacity(256 + body.len());
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
        // No part contains this byte.
        bytes.push(0);
    }
    bytes.extend_from_slice(body);
    digest::Digest::of_bytes(&bytes)
}

/// Limits of callers' connections, from the configuration in force.
pub fn limits(gate: &gate::Gate) -> config::Limits {
    gate.config()
        .map_or_else(config::Limits::default, |config| config.limits)
}
