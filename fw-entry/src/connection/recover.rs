//! Brings turns that the journal lacks into it, once their shard has another keeper.
//!
//! While the store does not answer, callers are given answers that only the keeper and the side
//! hold. If the keeper dies, or is cut off until its lease lapses, its successor finds a journal
//! without them: their callers hold a history that the system would not know. Sides name such
//! shards in their heartbeats ([`super::recover_sides`]), and other entries are asked for what they
//! gave out ([`super::recover_entries`]), since the keeper before may live. Until all were heard, by the
//! rule of [`takeover`], the successor takes no turn.

use std::sync::Arc;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_keep::keeper;
use fw_keep::program;
use fw_keep::shard;
use fw_plan::takeover;
use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use tracing::info;

use crate::process::entry;
use crate::process::keepers;
use crate::turn::submit;

/// Counter of held turns, by outcome.
pub const RECOVERED: &str = "fw_entry_turns_recovered_total";

/// What became of a turn that another process holds.
pub(super) enum Recovery {
    /// It is committed here, or was before; it is in the store once this change is.
    Committed(keeper::Ticket),
    /// A turn before it is missing.
    Gap,
    /// Its shard is not kept here.
    NotKept,
}

/// Commits a turn that another entry passes on; false if its shard is not kept here, a turn before it
/// is missing, or the store does not take it: then the other entry goes on to hold it.
pub async fn accept(entry: &entry::Entry, held: side::Held) -> bool {
    let shard = entry.keeper.shard_of(&held.program);
    if entry.serving_fence(shard).is_none() {
        return false;
    }
    match commit_held(entry, "its keeper before", held) {
        Recovery::Committed(ticket) => entry.keeper.wait_durable(ticket).await.is_ok(),
        Recovery::Gap | Recovery::NotKept => false,
    }
}

/// Passes a turn, whose answer its caller has, on to the keeper that took the shard.
///
/// # Errors
///
/// When no keeper has taken it in time.
pub async fn forward(entry: &Arc<entry::Entry>, held: &side::Held) -> Result<(), error::Error> {
    let within = entry.settings.upstream.connect_timeout * 4 + entry.settings.keeper.commit_wait;
    let to_outcome = |taken: bool| match taken {
        true => keepers::CallOutcome::Answered(()),
        false => keepers::CallOutcome::NotKeeper,
    };
    let local = || async { to_outcome(accept(entry, held.clone()).await) };
    let remote = |client: peer::PeerClient| {
        let held = held.clone();
        async move {
            client
                .recover(transport::context(within), held)
                .await
                .map(to_outcome)
        }
    };
    let options = keepers::Options {
        timeout: entry.keeper_timeout(),
        idempotent: true,
    };
    let shard = entry.keeper.shard_of(&held.program);
    keepers::call(entry, shard, options, local, remote).await?;
    Ok(())
}

/// Whether `shard`, taken a moment ago, may serve.
pub fn is_complete(entry: &entry::Entry, shard: id::ShardId) -> bool {
    let Some(since) = entry.keeper.kept_since(shard) else {
        return false;
    };
    let now = Instant::now();
    // Beyond the wait it serves whatever is missing; most shards are kept for far longer.
    let options = takeover::Options::default();
    if now.saturating_duration_since(since) > options.grace {
        return true;
    }
    takeover::decide(now, since, &holders(entry, shard), &options).serves()
}

/// What is known of `shard` and of those who may hold turns of it, in words.
pub fn describe_recovery(entry: &entry::Entry, shard: id::ShardId) -> String {
    let Some(since) = entry.keeper.kept_since(shard) else {
        return format!("shard {shard} is not kept here");
    };
    let now = Instant::now();
    let holders = holders(entry, shard);
    let outcome = takeover::decide(now, since, &holders, &takeover::Options::default());
    let kept = now.saturating_duration_since(since);
    let mut text = format!("shard {shard} kept for {kept:?}, {outcome:?}");
    for (what, holders) in [("side", holders.sides), ("entry", holders.entries)] {
        for holder in holders {
            let last_answered = holder.last_answered.map(|at| at.elapsed());
            let unresponsive = holder.unresponsive_since.map(|at| at.elapsed());
            let (gone, pending) = (holder.gone, holder.has_pending_turns);
            text.push_str(&format!(
                "; {what} heard {last_answered:?} ago, silent for {unresponsive:?}, gone {gone}, owes {pending}"
            ));
        }
    }
    text
}

fn holders(entry: &entry::Entry, shard: id::ShardId) -> takeover::Holders {
    let sides = entry.sides.all();
    let sides = sides.iter().map(|side| side.update(|s| s.holder_of(shard)));
    let entries = entry.keeper.recent_entries().into_iter();
    takeover::Holders {
        sides_known: entry.sides.has_list(),
        sides: sides.collect(),
        entries: entries
            .map(|(id, _)| entry.predecessors.holder(&id))
            .collect(),
    }
}

/// Commits a turn that `from` holds, or finds it committed.
pub(super) fn commit_held(entry: &entry::Entry, from: &str, held: side::Held) -> Recovery {
    let shard = entry.keeper.shard_of(&held.program);
    let (name, turn) = (held.program.clone(), held.turn);
    let converted = to_program_held(held);
    let recovered = entry
        .keeper
        .with_shard(shard, |kept| kept.recover(&name, converted, keeper::now()));
    let Ok(recovered) = recovered else {
        return Recovery::NotKept;
    };
    let outcome = match recovered.value {
        shard::Recovered::Gap => "gap",
        shard::Recovered::Obsolete => "obsolete",
        shard::Recovered::Applied => "applied",
    };
    metrics::counter!(RECOVERED, "outcome" => outcome).increment(1);
    match recovered.value {
        shard::Recovered::Gap => return Recovery::Gap,
        shard::Recovered::Obsolete => {}
        shard::Recovered::Applied => {
            info!(entry = %entry.id, program = %name, turn, from, "turn recovered");
            let why = format!("turn {turn} from {from}");
            entry.explain.record(&name, "recovered", why);
        }
    }
    Recovery::Committed(recovered.ticket)
}

fn to_program_held(held: side::Held) -> program::Held {
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
