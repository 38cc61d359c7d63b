//! Heartbeats to one side. A request renews the side's sessions; its reply carries the upstream's
//! load, health and cache changes.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_plan::health;
use fw_plan::place;
use fw_plan::takeover;
use fw_wire::side;
use fw_wire::transport;
use tracing::info;

use super::pool;
use super::recover_sides;
use super::sides;
use crate::process::entry;

/// Counter of heartbeats without an answer.
pub const MISSED: &str = "fw_entry_heartbeats_missed_total";

/// Sends heartbeats to `side` until the future is dropped.
pub async fn run(entry: Arc<entry::Entry>, side: Arc<sides::Side>) {
    loop {
        let interval = interval(&entry);
        send_heartbeat(&entry, &side, interval).await;
        tokio::time::sleep(interval).await;
    }
}

/// The configured interval, or a longer one if this entry watches more sides than fit into
/// `heartbeats_per_second`, which bounds control traffic. A side with work under way also shows by
/// its answers that it is alive.
fn interval(entry: &entry::Entry) -> Duration {
    let upstream = &entry.settings.upstream;
    let sides = u32::try_from(entry.sides.len()).unwrap_or(u32::MAX);
    let spread = Duration::from_secs(u64::from(sides)) / upstream.heartbeats_per_second;
    upstream.heartbeat_interval.max(spread)
}

async fn send_heartbeat(entry: &Arc<entry::Entry>, side: &Arc<sides::Side>, interval: Duration) {
    // Taken before the shards are listed: a shard taken in between is not in this heartbeat and must
    // not count as announced to the side.
    let sent = Instant::now();
    let req = request(entry, side);
    let cx = transport::context(interval);
    let addr = side.instance.side;
    let call = |client: side::SideClient| async move { client.heartbeat(cx, req).await };
    match entry.sides.pool.call(addr, call).await {
        // Another side listens at the address, so this one is gone.
        Ok(reply) if is_other_upstream(side, &reply) => record_missed(entry, side, true),
        Ok(reply) => record_answer(entry, side, reply, sent).await,
        Err(failure) => record_missed(entry, side, failure == pool::Failure::Refused),
    }
}

/// A lagging instance list may name an address that has since been assigned to another instance. Its
/// load, cache and health would be recorded for the wrong upstream, and calls would be sent to the
/// wrong service.
fn is_other_upstream(side: &sides::Side, reply: &side::HeartbeatReply) -> bool {
    !reply.upstream.is_empty() && reply.upstream != side.instance.id
}

fn request(entry: &entry::Entry, side: &sides::Side) -> side::Heartbeat {
    let state = side.state();
    let fence = |shard: &id::ShardId| Some((*shard, entry.keeper.fence(*shard)?));
    let gone = |program: &id::ProgramId| entry.may_release(program);
    side::Heartbeat {
        from: entry.id.clone(),
        revision: entry.records.revision(),
        shards: shards_to_renew(entry, &state)
            .iter()
            .filter_map(fence)
            .collect(),
        cache_seen: state.cache_seen,
        known: state.incarnation,
        gone: state.queried_programs.into_iter().filter(gone).collect(),
    }
}

/// The shards with sessions at the side, and those taken since it last answered. Their previous
/// keeper may be cut off from the store and unaware that it lost them. Once the side has received the
/// newer fence it refuses that keeper's turns, so that their answers cannot diverge from the history
/// that this keeper continues.
fn shards_to_renew(entry: &entry::Entry, state: &sides::State) -> BTreeSet<id::ShardId> {
    let kept = entry.keeper.shards().into_iter().map(|kept| kept.shard);
    let is_new = |shard: &id::ShardId| {
        let since = entry.keeper.kept_since(*shard);
        since > state.holder.last_answered
    };
    let mut shards = state.shards.clone();
    shards.extend(kept.filter(is_new));
    shards
}

fn record_missed(entry: &entry::Entry, side: &sides::Side, gone: bool) {
    metrics::counter!(MISSED).increment(1);
    let was_reachable = side.update(|state| {
        state.holder.missed(Instant::now(), gone);
        std::mem::replace(&mut state.reachable, false)
    });
    if was_reachable {
        info!(entry = %entry.id, upstream = %side.instance.id, "side does not answer");
    }
    observe_health(entry, side, health::Observation::Failed);
}

async fn record_answer(
    entry: &Arc<entry::Entry>,
    side: &Arc<sides::Side>,
    reply: side::HeartbeatReply,
    sent: Instant,
) {
    update_incarnation(entry, side, &reply);
    update_load(entry, side, &reply);
    update_cache(entry, side, &reply);
    let observation = match (reply.leaving, reply.down) {
        (true, _) => health::Observation::Leaving,
        (_, true) => health::Observation::Down,
        _ => health::Observation::Answered,
    };
    observe_health(entry, side, observation);
    let is_kept_here = |shard: &id::ShardId| entry.keeper.fence(*shard).is_some();
    let (was_reachable, recovering) = side.update(|state| {
        state.revision = reply.revision;
        state.cache_seen = reply.cache_seq;
        state.queried_programs = reply.asked;
        state.holder.answered(sent);
        state.shards.retain(is_kept_here);
        state.recovering.retain(|shard, _| is_kept_here(shard));
        for shard in reply.unrenewed.into_iter().filter(is_kept_here) {
            state.shards.insert(shard);
            state.recovering.entry(shard).or_insert(0);
        }
        let recovering: Vec<_> = state.recovering.keys().copied().collect();
        (std::mem::replace(&mut state.reachable, true), recovering)
    });
    if !recovering.is_empty() {
        recover_sides::run(Arc::clone(entry), Arc::clone(side), recovering).await;
    }
    if !was_reachable {
        info!(entry = %entry.id, upstream = %side.instance.id, "side answers");
    }
    if reply.revision < entry.records.revision() {
        push_records(entry, side).await;
    }
}

/// Resets the state of a side that restarted: it has lost its attempts, sessions and cache.
fn update_incarnation(entry: &entry::Entry, side: &sides::Side, reply: &side::HeartbeatReply) {
    let before = side.update(|state| {
        let before = std::mem::replace(&mut state.incarnation, reply.incarnation);
        if before != reply.incarnation {
            state.shards.clear();
            state.cache_seen = 0;
            state.holder = takeover::Holder::default();
            state.recovering.clear();
        }
        before
    });
    if before == reply.incarnation {
        return;
    }
    info!(entry = %entry.id, upstream = %side.instance.id, incarnation = reply.incarnation, "side started");
    let service = entry.sides.service(&side.instance.service);
    let mut service = service.lock();
    service.view.clear_cache(&side.instance.id);
    if before != 0 {
        service.health.restarted(entry.now(), &side.instance.id);
    }
}

fn update_load(entry: &entry::Entry, side: &sides::Side, reply: &side::HeartbeatReply) {
    let load = &reply.load;
    let load = place::Load {
        queued: load.queued,
        running: load.running,
        batch: load.batch,
        prefill: load.prefill,
        prefill_rate: load.prefill_rate,
        delay: load.delay,
        step: load.step,
        age: load.age,
    };
    let service = entry.sides.service(&side.instance.service);
    service
        .lock()
        .view
        .update_load(&side.instance.id, load, entry.now());
}

fn update_cache(entry: &entry::Entry, side: &sides::Side, reply: &side::HeartbeatReply) {
    if !reply.cache_reset && reply.cache.is_empty() {
        return;
    }
    let service = entry.sides.service(&side.instance.service);
    let mut service = service.lock();
    if reply.cache_reset {
        service.view.clear_cache(&side.instance.id);
    }
    for change in &reply.cache {
        service
            .view
            .set_cached(&change.program, &side.instance.id, change.tokens);
    }
}

fn observe_health(entry: &entry::Entry, side: &sides::Side, observation: health::Observation) {
    let now = entry.now();
    let service = entry.sides.service(&side.instance.service);
    let mut service = service.lock();
    service.health.observe(now, &side.instance.id, observation);
    service.refresh(now, &side.instance.id);
}

async fn push_records(entry: &entry::Entry, side: &sides::Side) {
    let set = entry.records.current();
    let req = side::Records {
        revision: set.revision(),
        set: set.to_json().into(),
    };
    let cx = transport::context(entry.settings.upstream.connect_timeout * 4);
    let call = |client: side::SideClient| async move { client.records(cx, req).await };
    if let Ok(revision) = entry.sides.pool.call(side.instance.side, call).await {
        side.update(|state| state.revision = state.revision.max(revision));
    }
}
