//! Brings turns that only sides hold into the journal of their shard's new keeper.
//!
//! While the store does not answer, callers are given answers that only the keeper and the side
//! hold. If the keeper dies, or is cut off until its lease lapses, its successor finds a journal
//! without them: their callers hold a history that the system would not know. Sides name such
//! shards in their heartbeats, and until every reachable side was heard the successor takes no
//! turn.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_keep::keeper;
use fw_keep::program;
use fw_keep::shard;
use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use tracing::info;

use super::sides;
use crate::process::entry;
use crate::process::keepers;
use crate::turn::submit;
use crate::turn::upstream;

/// Counter of held turns, by outcome.
pub const RECOVERED: &str = "fw_entry_turns_recovered_total";

/// Replies asked for in one go; what is left is asked for with the next heartbeat.
const MAX_REPLIES: usize = 16;

/// Heartbeats that a held turn waits for one before it, which another side may hold.
const MAX_TRIES: u32 = 20;

/// Longest that a taken shard waits for sides that answer heartbeats.
const MAX_GRACE: Duration = Duration::from_secs(5);

/// Asks `side` for the held turns of `shards` and commits them.
pub async fn run(entry: Arc<entry::Entry>, side: Arc<sides::Side>, shards: Vec<id::ShardId>) {
    let mut gaps = Vec::new();
    for _ in 0..MAX_REPLIES {
        let Some(reply) = ask(&entry, &side, &shards).await else {
            break;
        };
        gaps.clear();
        let more = reply.more && !reply.turns.is_empty();
        for held in reply.turns {
            if let Some(gap) = take(&entry, &side, held).await {
                gaps.push(gap);
            }
        }
        if !more || !gaps.is_empty() {
            break;
        }
    }
    side.update(|state| {
        for shard in shards {
            state.note_asked(shard, gaps.contains(&shard), MAX_TRIES);
        }
    });
}

/// Commits a held turn that another entry passes on; false if its shard is not kept here.
pub fn accept(entry: &entry::Entry, held: side::Held) -> bool {
    let shard = entry.keeper.shard_of(&held.program);
    if entry.serving(shard).is_none() {
        return false;
    }
    let name = held.program.clone();
    let described = describe(held);
    let recover = |kept: &mut shard::Shard| kept.recover(&name, described, keeper::now());
    entry.keeper.with_shard(shard, recover).is_ok()
}

/// Passes a turn, whose answer its caller has, on to the keeper that took the shard.
///
/// # Errors
///
/// When no keeper is found in time.
pub async fn pass_on(entry: &Arc<entry::Entry>, held: &side::Held) -> Result<(), error::Error> {
    let within = entry.settings.upstream.connect_timeout * 4;
    let tried = |taken: bool| match taken {
        true => keepers::Tried::Answered(()),
        false => keepers::Tried::NotKeeper,
    };
    let here = || {
        let taken = accept(entry, held.clone());
        async move { tried(taken) }
    };
    let there = |client: peer::PeerClient| {
        let held = held.clone();
        async move {
            client
                .recover(transport::context(within), held)
                .await
                .map(tried)
        }
    };
    let options = keepers::Options {
        patience: entry.patience(),
        idempotent: true,
    };
    let shard = entry.keeper.shard_of(&held.program);
    keepers::call(entry, shard, options, here, there).await?;
    Ok(())
}

/// Whether `shard`, taken a moment ago, may serve: all sides that can be reached were heard since.
pub fn is_complete(entry: &entry::Entry, shard: id::ShardId) -> bool {
    let Some(since) = entry.keeper.kept_since(shard) else {
        return false;
    };
    if since.elapsed() > MAX_GRACE {
        return true;
    }
    let heard = |side: &Arc<sides::Side>| side.update(|state| state.is_heard(shard, since));
    entry.sides.all().iter().all(heard)
}

/// What is known of `shard` and of the sides that may hold turns of it, in words.
pub fn standing(entry: &entry::Entry, shard: id::ShardId) -> String {
    let since = entry.keeper.kept_since(shard);
    let kept = since.map_or(Duration::ZERO, |since| since.elapsed());
    let mut text = format!("shard {shard} kept for {kept:?}");
    for side in entry.sides.all() {
        let state = side.state();
        let heard = state.heard.map(|heard| heard.elapsed());
        let tries = state.recovering.get(&shard);
        let reachable = state.reachable;
        let upstream = &side.instance.id;
        text.push_str(&format!(
            "; {upstream}: reachable {reachable}, heard {heard:?} ago, tries {tries:?}"
        ));
    }
    text
}

async fn ask(
    entry: &entry::Entry,
    side: &sides::Side,
    shards: &[id::ShardId],
) -> Option<side::HeldReply> {
    let fence = |shard: &id::ShardId| Some((*shard, entry.keeper.fence(*shard)?));
    let req = side::HeldQuery {
        shards: shards.iter().filter_map(fence).collect(),
    };
    if req.shards.is_empty() {
        return None;
    }
    let cx = transport::context(entry.settings.upstream.connect_timeout * 4);
    let call = |client: side::SideClient| async move { client.held(cx, req).await };
    entry.sides.pool.call(side.instance.side, call).await.ok()
}

/// Commits a held turn, or finds it obsolete, and lets the side forget it; returns its shard if a
/// turn before it is missing.
async fn take(entry: &entry::Entry, side: &sides::Side, held: side::Held) -> Option<id::ShardId> {
    let shard = entry.keeper.shard_of(&held.program);
    let (attempt, name, turn) = (held.attempt, held.program.clone(), held.turn);
    let described = describe(held);
    let recovered = entry
        .keeper
        .with_shard(shard, |kept| kept.recover(&name, described, keeper::now()));
    let Ok(recovered) = recovered else {
        return None;
    };
    let outcome = match recovered.value {
        shard::Recovered::Gap => "gap",
        shard::Recovered::Obsolete => "obsolete",
        shard::Recovered::Applied => "applied",
    };
    metrics::counter!(RECOVERED, "outcome" => outcome).increment(1);
    match recovered.value {
        shard::Recovered::Gap => return Some(shard),
        shard::Recovered::Obsolete => {}
        shard::Recovered::Applied => {
            info!(entry = %entry.id, program = %name, turn, upstream = %side.instance.id, "turn recovered");
            entry
                .explain
                .note(&name, "recovered", format!("turn {turn} from a side"));
        }
    }
    if entry.keeper.durable(recovered.ticket).await.is_err() {
        // Known here, but not in the journal yet: the side goes on holding it.
        return None;
    }
    upstream::forget(entry, side, attempt).await;
    None
}

fn describe(held: side::Held) -> program::Held {
    program::Held {
        team: held.team,
        turn: held.turn,
        attempt: held.attempt,
        base: held.base,
        messages: held.messages,
        params: submit::params_digest(&held.model, &held.params),
        answer: program::Answer {
            message: held.finish.message,
            finish_reason: held.finish.finish_reason,
            usage: held.finish.usage,
        },
        ran: held.finish.ran,
    }
}

impl sides::State {
    /// The side was asked for the held turns of `shard`.
    fn note_asked(&mut self, shard: id::ShardId, has_gap: bool, most: u32) {
        let tries = self.recovering.get(&shard).copied().unwrap_or(0) + 1;
        if has_gap && tries < most {
            self.recovering.insert(shard, tries);
        } else {
            self.recovering.remove(&shard);
        }
    }

    /// Whether the side has told since `since` all that it holds of `shard`, or cannot be reached.
    fn is_heard(&self, shard: id::ShardId, since: Instant) -> bool {
        if !self.reachable {
            return true;
        }
        let asked = self.heard.is_some_and(|heard| heard > since);
        asked && !self.recovering.contains_key(&shard)
    }
}
