//! Background tasks of a side: dispatch from the queue, health checks of the upstream, release of
//! its cache, and expiry of sessions and answers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream;
use fw_base::error;
use fw_base::id;
use fw_conf::side;

use super::attempts;
use super::core;
use super::dispatch_queue;
use super::engine;
use crate::errors;
use crate::request::run;

/// Maximum time between two checks of the queue for expired deadlines.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum time between two sweeps of sessions and answers.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of concurrent cache releases.
const CONCURRENT_RELEASES: usize = 8;

/// Dispatches attempts from the queue to the engine.
pub async fn dispatch(core: Arc<core::Core>) {
    loop {
        expire(&core);
        while !core.is_down() {
            let pace = dispatch_queue::EnginePace {
                batch: core.meter.batch(),
                step: core.meter.step_time(),
            };
            let Some(id) = core.queue.pop(pace) else {
                break;
            };
            start_run(&core, id);
        }
        let _ = tokio::time::timeout(QUEUE_CHECK_INTERVAL, core.queue_changed.notified()).await;
    }
}

fn start_run(core: &Arc<core::Core>, id: id::AttemptId) {
    match core.attempts.get(id) {
        Some(attempt) if !attempt.is_ended() => {
            core.runs.spawn(run::run(core.clone(), attempt));
        }
        _ => core.queue.finish(id),
    }
}

fn expire(core: &core::Core) {
    for id in core.queue.expire() {
        if let Some(attempt) = core.attempts.get(id) {
            attempt.abort(errors::counted(
                error::Kind::DeadlineUnmeetable,
                "the turn was still queued at its deadline and was not sent; allow more time",
            ));
        }
    }
}

/// Monitors the availability and the load of the upstream.
pub async fn monitor_upstream(core: Arc<core::Core>) {
    let interval = core.opts.settings.engine.load_poll;
    let idle_timeout = core.opts.settings.engine.between_tokens_timeout;
    let mut failed = 0;
    let mut incarnation = None;
    loop {
        match probe(&core).await {
            Probe::Up(report) => {
                failed = 0;
                let before = incarnation.replace(report.incarnation);
                if before.is_some_and(|before| before != report.incarnation) {
                    core.handle_restart();
                }
                core.set_engine_leaving(report.leaving);
                core.meter.record_report(report, Instant::now());
                core.mark_up();
            }
            Probe::Refused => core.mark_crashed("it refuses connections"),
            // A busy engine may delay its report while its streams continue.
            Probe::Unresponsive if core.meter.is_streaming(Instant::now(), idle_timeout) => {}
            Probe::Unresponsive => {
                failed += 1;
                if failed >= core.opts.max_failed_polls {
                    core.mark_crashed("it does not answer load polls");
                }
            }
        }
        tokio::time::sleep(interval).await;
    }
}

/// Result of a health check of the upstream.
enum Probe {
    Up(engine::Report),
    Refused,
    Unresponsive,
}

async fn probe(core: &core::Core) -> Probe {
    let cfg = &core.opts.settings.engine;
    if cfg.kind == side::Kind::Plain {
        return probe_connect(cfg).await;
    }
    match core.engine.load().await {
        Ok(report) => Probe::Up(report),
        // An engine that does not support load reports is up as well.
        Err(fw_http::Error::Json { .. }) => Probe::Up(engine::Report::default()),
        Err(err) if engine::is_connection_refused(&err) => Probe::Refused,
        Err(_) => Probe::Unresponsive,
    }
}

async fn probe_connect(cfg: &side::Engine) -> Probe {
    let connecting = tokio::net::TcpStream::connect(cfg.address);
    match tokio::time::timeout(cfg.connect_timeout, connecting).await {
        Ok(Ok(_)) => Probe::Up(engine::Report::default()),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Probe::Refused,
        _ => Probe::Unresponsive,
    }
}

/// Follows the engine's cache events.
pub async fn follow_cache(core: Arc<core::Core>) {
    let interval = core.opts.settings.engine.cache_poll;
    let mut seen = 0;
    let mut crashes = core.crashes();
    loop {
        tokio::time::sleep(interval).await;
        if core.crashes() != crashes {
            // A restarted engine numbers its events from the beginning.
            crashes = core.crashes();
            seen = 0;
        }
        if core.is_down() {
            continue;
        }
        if let Ok(events) = core.engine.cache_events(seen).await {
            seen = apply_events(&core, seen, &events);
        }
    }
}

/// Applies the events after `seen`. Returns the number of the last one.
fn apply_events(core: &core::Core, mut seen: u64, events: &[engine::CacheEvent]) -> u64 {
    let now = Instant::now();
    for event in events {
        // The first received event need not be the engine's first: the side may have started later
        // than the engine.
        if seen > 0 && event.seq != seen + 1 {
            metrics::counter!("fw_side_cache_gaps_total").increment(1);
            core.cache_view.reset();
        }
        seen = event.seq;
        core.cache_view.set_cached(&event.program, event.tokens);
        if event.tokens == 0 {
            core.sessions.record_eviction(&event.program);
        } else {
            let shard = id::shard_of(&event.program);
            core.sessions.adopt(&event.program, shard, now);
        }
    }
    seen
}

/// Sends cache releases until the engine confirms them.
pub async fn release_cache(core: Arc<core::Core>) {
    let tick = core.opts.release_backoff / 4;
    loop {
        let _ = tokio::time::timeout(tick, core.releases_changed.notified()).await;
        if core.is_down() {
            continue;
        }
        let due = core.sessions.due_releases(Instant::now());
        stream::iter(due)
            .for_each_concurrent(CONCURRENT_RELEASES, |program| release_one(&core, program))
            .await;
    }
}

async fn release_one(core: &core::Core, program: id::ProgramId) {
    let fence = core.fences.highest();
    match core.engine.release(&program, fence).await {
        engine::CommandResult::Confirmed => {
            core.sessions.confirm_release(&program);
            core.cache_view.set_cached(&program, 0);
            metrics::counter!("fw_side_releases_total").increment(1);
        }
        engine::CommandResult::Unconfirmed => {
            metrics::counter!("fw_side_releases_unconfirmed_total").increment(1);
        }
    }
}

/// Expires sessions that no keeper renews, and drops old answers.
pub async fn sweep(core: Arc<core::Core>) {
    let cfg = &core.opts.settings.sessions;
    let retention = attempts::Retention {
        max_age: core.opts.answer_retention,
        max_count: cfg.answers_kept,
        max_bytes: core.opts.answer_bytes,
    };
    let interval = SWEEP_INTERVAL.min(cfg.ttl / 4);
    loop {
        tokio::time::sleep(interval).await;
        let now = Instant::now();
        let expired = core.sessions.expire(&core.fences, cfg.ttl, now);
        if expired > 0 {
            metrics::counter!("fw_side_sessions_lapsed_total").increment(expired as u64);
            core.releases_changed.notify_one();
        }
        let dropped = core.attempts.sweep(retention, now);
        metrics::counter!("fw_side_answers_dropped_total").increment(dropped as u64);
        update_gauges(&core);
    }
}

fn update_gauges(core: &core::Core) {
    let occupancy = core.queue.occupancy();
    metrics::gauge!("fw_side_queued").set(f64::from(occupancy.queued));
    metrics::gauge!("fw_side_running").set(f64::from(occupancy.running));
    metrics::gauge!("fw_side_queue_delay_seconds").set(occupancy.delay.as_secs_f64());
    metrics::gauge!("fw_side_sessions").set(core.sessions.len() as f64);
    metrics::gauge!("fw_side_releases_waiting").set(core.sessions.unconfirmed_releases() as f64);
    metrics::gauge!("fw_side_history_bytes").set(core.histories.bytes() as f64);
}

/// Renews the shards of a heartbeat. Returns those whose fencing numbers are current.
pub fn renew_shards(
    core: &core::Core,
    shards: &[(id::ShardId, id::Fence)],
    now: Instant,
) -> HashSet<id::ShardId> {
    let mut renewed = HashSet::with_capacity(shards.len());
    let mut moved = HashSet::new();
    for (shard, fence) in shards {
        match core.fences.renew(*shard, *fence, now) {
            super::fences::Check::Current => {
                renewed.insert(*shard);
            }
            super::fences::Check::Newer => {
                renewed.insert(*shard);
                moved.insert(*shard);
            }
            super::fences::Check::Stale { .. } => {
                metrics::counter!("fw_side_stale_renewals_total").increment(1);
            }
        }
    }
    if !moved.is_empty() {
        end_fenced_turns(core, &moved);
    }
    renewed
}

/// Ends the turns of earlier keepers of `shards`. An earlier keeper may be partitioned and unaware
/// that it lost the shard: it would deliver an answer that the new keeper's history lacks.
pub fn end_fenced_turns(core: &core::Core, shards: &HashSet<id::ShardId>) {
    for attempt in core.attempts.unfinished() {
        let start = &attempt.start;
        let is_stale = core.fences.is_stale(start.shard, start.fence);
        if shards.contains(&start.shard) && is_stale {
            let why = "another entry keeps the program's shard now";
            core.end(&attempt, error::Kind::KeeperLost, why);
        }
    }
}
