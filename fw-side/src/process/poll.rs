//! The loops of a side: release from the queue, watch the upstream, free its memory, sweep.

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
use super::engine;
use super::line;
use crate::refuse;
use crate::request::run;

/// Longest time between two looks at the queue, for deadlines.
const QUEUE_TICK: Duration = Duration::from_millis(50);

/// Time between two sweeps of sessions and answers, at most.
const SWEEP: Duration = Duration::from_millis(500);

/// Orders to free memory that are sent together.
const RELEASES: usize = 8;

/// Releases attempts from the queue into the engine.
pub async fn release(core: Arc<core::Core>) {
    loop {
        expire(&core);
        while !core.is_down() {
            let pace = line::Pace {
                batch: core.meter.batch(),
                step: core.meter.step_time(),
            };
            let Some(id) = core.line.pop(pace) else { break };
            begin(&core, id);
        }
        let _ = tokio::time::timeout(QUEUE_TICK, core.work.notified()).await;
    }
}

fn begin(core: &Arc<core::Core>, id: id::AttemptId) {
    match core.attempts.get(id) {
        Some(attempt) if !attempt.is_ended() => {
            core.runs.spawn(run::run(core.clone(), attempt));
        }
        _ => core.line.done(id),
    }
}

fn expire(core: &core::Core) {
    for id in core.line.expire() {
        if let Some(attempt) = core.attempts.get(id) {
            attempt.abort(refuse::with(
                error::Kind::DeadlineUnmeetable,
                "the turn waited until its deadline and was not sent; allow more time",
            ));
        }
    }
}

/// Watches whether the upstream answers, and how busy it is.
pub async fn watch(core: Arc<core::Core>) {
    let every = core.opts.settings.engine.load_poll;
    let patience = core.opts.settings.engine.between_tokens_timeout;
    let mut failed = 0;
    let mut incarnation = None;
    loop {
        match look(&core).await {
            Look::Up(report) => {
                failed = 0;
                let before = incarnation.replace(report.incarnation);
                if before.is_some_and(|before| before != report.incarnation) {
                    core.restarted();
                }
                core.engine_leaves(report.leaving);
                core.meter.report(report, Instant::now());
                core.up();
            }
            Look::Refused => core.crashed("it refuses connections"),
            // A busy engine may be late with its report while its streams go on.
            Look::Silent if core.meter.is_streaming(Instant::now(), patience) => {}
            Look::Silent => {
                failed += 1;
                if failed >= core.opts.failed_polls {
                    core.crashed("it does not answer load polls");
                }
            }
        }
        tokio::time::sleep(every).await;
    }
}

/// What a look at the upstream showed.
enum Look {
    Up(engine::Report),
    Refused,
    Silent,
}

async fn look(core: &core::Core) -> Look {
    let cfg = &core.opts.settings.engine;
    if cfg.kind == side::Kind::Plain {
        return connect(cfg).await;
    }
    match core.engine.load().await {
        Ok(report) => Look::Up(report),
        // An engine without load reports is up all the same.
        Err(fw_http::Error::Json { .. }) => Look::Up(engine::Report::default()),
        Err(err) if engine::is_refused(&err) => Look::Refused,
        Err(_) => Look::Silent,
    }
}

async fn connect(cfg: &side::Engine) -> Look {
    let connect = tokio::net::TcpStream::connect(cfg.address);
    match tokio::time::timeout(cfg.connect_timeout, connect).await {
        Ok(Ok(_)) => Look::Up(engine::Report::default()),
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => Look::Refused,
        _ => Look::Silent,
    }
}

/// Follows the engine's cache events.
pub async fn follow_cache(core: Arc<core::Core>) {
    let every = core.opts.settings.engine.cache_poll;
    let mut seen = 0;
    let mut crashes = core.crashes();
    loop {
        tokio::time::sleep(every).await;
        if core.crashes() != crashes {
            // A restarted engine numbers its events anew.
            crashes = core.crashes();
            seen = 0;
        }
        if core.is_down() {
            continue;
        }
        if let Ok(events) = core.engine.cache_events(seen).await {
            seen = take_events(&core, seen, &events);
        }
    }
}

/// Takes in events after `seen`; returns the number of the last.
fn take_events(core: &core::Core, mut seen: u64, events: &[engine::CacheEvent]) -> u64 {
    let now = Instant::now();
    for event in events {
        // The first events seen need not be the engine's first: a side starts beside one that ran.
        if seen > 0 && event.seq != seen + 1 {
            metrics::counter!("fw_side_cache_gaps_total").increment(1);
            core.changes.reset();
        }
        seen = event.seq;
        core.changes.note(&event.program, event.tokens);
        if event.tokens == 0 {
            core.sessions.evicted(&event.program);
        } else {
            let shard = id::shard_of(&event.program);
            core.sessions.adopt(&event.program, shard, now);
        }
    }
    seen
}

/// Sends orders to free memory until the engine confirms them.
pub async fn free(core: Arc<core::Core>) {
    let tick = core.opts.release_pause / 4;
    loop {
        let _ = tokio::time::timeout(tick, core.orders.notified()).await;
        if core.is_down() {
            continue;
        }
        let due = core.sessions.due(Instant::now());
        stream::iter(due)
            .for_each_concurrent(RELEASES, |program| free_one(&core, program))
            .await;
    }
}

async fn free_one(core: &core::Core, program: id::ProgramId) {
    let fence = core.fences.highest();
    match core.engine.release(&program, fence).await {
        engine::Order::Confirmed => {
            core.sessions.freed(&program);
            core.changes.note(&program, 0);
            metrics::counter!("fw_side_releases_total").increment(1);
        }
        engine::Order::Unconfirmed => {
            metrics::counter!("fw_side_releases_unconfirmed_total").increment(1);
        }
    }
}

/// Ends sessions that no keeper renews, and drops old answers.
pub async fn sweep(core: Arc<core::Core>) {
    let cfg = &core.opts.settings.sessions;
    let keep = attempts::Keep {
        time: core.opts.keep_answer,
        count: cfg.answers_kept,
        bytes: core.opts.answer_bytes,
    };
    let every = SWEEP.min(cfg.ttl / 4);
    loop {
        tokio::time::sleep(every).await;
        let now = Instant::now();
        let lapsed = core.sessions.lapse(&core.fences, cfg.ttl, now);
        if lapsed > 0 {
            metrics::counter!("fw_side_sessions_lapsed_total").increment(lapsed as u64);
            core.orders.notify_one();
        }
        let dropped = core.attempts.sweep(keep, now);
        metrics::counter!("fw_side_answers_dropped_total").increment(dropped as u64);
        gauges(&core);
    }
}

fn gauges(core: &core::Core) {
    let fill = core.line.fill();
    metrics::gauge!("fw_side_queued").set(f64::from(fill.queued));
    metrics::gauge!("fw_side_running").set(f64::from(fill.running));
    metrics::gauge!("fw_side_queue_delay_seconds").set(fill.delay.as_secs_f64());
    metrics::gauge!("fw_side_sessions").set(core.sessions.len() as f64);
    metrics::gauge!("fw_side_releases_waiting").set(core.sessions.unconfirmed() as f64);
    metrics::gauge!("fw_side_history_bytes").set(core.histories.bytes() as f64);
}

/// The shards of a heartbeat whose fencing numbers are current.
pub fn renew(
    core: &core::Core,
    shards: &[(id::ShardId, id::Fence)],
    now: Instant,
) -> HashSet<id::ShardId> {
    let mut renewed = HashSet::with_capacity(shards.len());
    let mut passed_on = HashSet::new();
    for (shard, fence) in shards {
        match core.fences.renew(*shard, *fence, now) {
            super::fences::Check::Current => {
                renewed.insert(*shard);
            }
            super::fences::Check::Newer => {
                renewed.insert(*shard);
                passed_on.insert(*shard);
            }
            super::fences::Check::Stale { .. } => {
                metrics::counter!("fw_side_stale_renewals_total").increment(1);
            }
        }
    }
    if !passed_on.is_empty() {
        fence_off(core, &passed_on);
    }
    renewed
}

/// Ends the turns of earlier keepers of `shards`. Their keeper may be cut off and not know that it
/// lost the shard: it would give out an answer that the new keeper's history does not have.
pub fn fence_off(core: &core::Core, shards: &HashSet<id::ShardId>) {
    for attempt in core.attempts.under_way() {
        let start = &attempt.start;
        let is_stale = core.fences.is_stale(start.shard, start.fence);
        if shards.contains(&start.shard) && is_stale {
            let why = "another entry keeps the program's shard now";
            core.end(&attempt, error::Kind::KeeperLost, why);
        }
    }
}
