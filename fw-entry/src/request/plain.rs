//! Handler of plain requests on all other paths, routed by the operators' records.
//!
//! Repeatable requests are placed, retried and hedged. Others need an `Idempotency-Key` and a claim on
//! it, and reach an upstream at most once.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::response::Response;
use bytes::Bytes;
use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use fw_plan::retry;
use fw_record::route;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::http;

use super::answer;
use super::headers;
use super::identity;
use super::once;
use super::send;
use crate::connection::sides;
use crate::process::admission;
use crate::process::entry;
use crate::turn::run;
use crate::version::records;

/// Counter of plain requests, by delivery: `repeatable`, `once`.
pub const CALLS: &str = "fw_entry_plain_calls_total";
/// Counter of hedged copies sent for slow reads.
pub const HEDGED: &str = "fw_entry_plain_hedged_total";

/// Answers a plain request.
pub async fn any(
    State(entry): State<Arc<entry::Entry>>,
    method: http::Method,
    uri: http::Uri,
    headers: HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Response {
    match route(entry, method, uri, headers, body).await {
        Ok(answer) => answer,
        Err(err) => answer::error_response(&err),
    }
}

async fn route(
    entry: Arc<entry::Entry>,
    method: http::Method,
    uri: http::Uri,
    headers: HeaderMap,
    body: Result<Bytes, axum::extract::rejection::BytesRejection>,
) -> Result<Response, error::Error> {
    let guard = entry.enter()?;
    let records = entry.records.current();
    let team = identity::team(&headers, &records)?;
    let route = records
        .route_for(uri.path())
        .ok_or_else(|| unknown_route(&uri))?;
    let body = body.map_err(|err| headers::body_error(&err, entry.settings.callers.body_limit))?;
    let deadline = headers::deadline(&headers, &entry.settings.callers)?;
    let permit = entry.admission.enter(admit::Request {
        lane: admit::Lane::Plain,
        share: records::share_of(&records, &team),
        team: team.clone(),
        deadline,
    })?;
    let service = records.service(&route.service);
    let service = service.ok_or_else(|| no_service(route))?;
    let call = send::Call {
        service: service.pool.clone(),
        method,
        path: uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        headers,
        body,
        timeout: deadline.min(route.timeout.unwrap_or(service.timeout.plain)),
    };
    if route.is_repeatable(call.method.as_str()) {
        metrics::counter!(CALLS, "sort" => "repeatable").increment(1);
        let hedge = route.hedge.filter(|_| entry.settings.plan.hedge);
        let answer = repeat(&entry, &call, hedge).await?;
        return Ok(forward_answer(answer, (guard, permit)));
    }
    metrics::counter!(CALLS, "sort" => "once").increment(1);
    once::call(&entry, &team, &call).await
}

/// Sends a repeatable call until it is answered or the retry policy gives up.
async fn repeat(
    entry: &Arc<entry::Entry>,
    call: &send::Call,
    hedge: Option<Duration>,
) -> Result<http::Response<Incoming>, error::Error> {
    let service = entry.sides.service(&call.service);
    service.lock().retry.deposit();
    let started = tokio::time::Instant::now();
    let mut tried = 0;
    let mut earlier = None;
    // Upstreams that the call was sent to. A further try or a hedged copy avoids them if possible.
    let mut sent_to = Vec::new();
    loop {
        tried += 1;
        let err = match try_once(entry, call, hedge, &mut sent_to).await {
            Ok(answer) => {
                service.lock().hedge.observe(started.elapsed());
                return Ok(answer);
            }
            Err(err) => err.merge_earlier(earlier),
        };
        let failure = retry::Failure {
            kind: err.kind,
            attempt: tried,
            repeatable: true,
            time_left: call.timeout.saturating_sub(started.elapsed()),
            retry_after: None,
        };
        let now = entry.now();
        let outcome = service.lock().retry.decide(now, &failure, &mut rand::rng());
        let label = err.kind.row().label;
        match outcome {
            retry::Outcome::Retry { after } => {
                metrics::counter!(run::RETRIES, "kind" => label).increment(1);
                tokio::time::sleep(after).await;
                earlier = Some(err);
            }
            retry::Outcome::GiveUp { reason } => {
                let reason = reason.label();
                metrics::counter!(run::GIVEN_UP, "reason" => reason, "kind" => label).increment(1);
                return Err(err);
            }
        }
    }
}

/// One try. If it exceeds the hedge delay, a copy is sent to another upstream and the first answer wins.
async fn try_once(
    entry: &Arc<entry::Entry>,
    call: &send::Call,
    hedge: Option<Duration>,
    sent_to: &mut Vec<id::UpstreamId>,
) -> Result<http::Response<Incoming>, error::Error> {
    let service = entry.sides.service(&call.service);
    let learned_delay = service.lock().hedge.decide(admit::Lane::Plain, true);
    let side = place(entry, call, sent_to)?;
    let first = send::deliver(entry, call, side, send::Delivery::Repeatable);
    tokio::pin!(first);
    let Some(configured_delay) = hedge else {
        return first.await;
    };
    let delay = learned_delay.unwrap_or(configured_delay);
    tokio::select! {
        answer = &mut first => return answer,
        () = tokio::time::sleep(delay) => {}
    }
    let now = entry.now();
    if !service.lock().retry.withdraw(now) {
        return first.await;
    }
    metrics::counter!(HEDGED).increment(1);
    let side = place(entry, call, sent_to)?;
    let second = send::deliver(entry, call, side, send::Delivery::Repeatable);
    tokio::pin!(second);
    tokio::select! {
        Ok(answer) = &mut first => Ok(answer),
        Ok(answer) = &mut second => Ok(answer),
        else => Err(all_failed(call)),
    }
}

/// Chooses an upstream that `call` was not sent to yet, if there is one.
fn place(
    entry: &entry::Entry,
    call: &send::Call,
    sent_to: &mut Vec<id::UpstreamId>,
) -> Result<Arc<sides::Side>, error::Error> {
    let side = send::place(entry, call, sent_to)?;
    sent_to.push(side.instance.id.clone());
    Ok(side)
}

/// Streams an answer to the caller; `held` is dropped after the last byte.
fn forward_answer(
    answer: http::Response<Incoming>,
    held: (entry::Guard, admission::Permit),
) -> Response {
    let (mut head, body) = answer.into_parts();
    send::drop_hop_headers(&mut head.headers);
    let body = body.map_frame(move |frame| {
        let _under_way = &held;
        frame
    });
    Response::from_parts(head, Body::new(body))
}

fn unknown_route(uri: &http::Uri) -> error::Error {
    let message = format!("no route covers the path {}", uri.path());
    error::Error::new(error::Kind::UnknownRoute, message)
}

fn no_service(route: &route::Route) -> error::Error {
    let message = format!(
        "route {} leads to {}, which has no service record",
        route.name, route.service
    );
    error::Error::new(error::Kind::UnknownRoute, message)
}

fn all_failed(call: &send::Call) -> error::Error {
    let message = format!("two upstreams of service {} failed", call.service);
    error::Error::new(error::Kind::UpstreamCrashed, message)
}
