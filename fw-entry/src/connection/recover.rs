//! Recovery after a take-over: commits answered turns that are missing in the journal of a shard.
//!
//! While the store does not answer, callers receive answers that only the keeper and the side hold.
//! If the keeper dies, or is cut off until its lease lapses, its successor reads a journal without
//! them, and callers would hold a history that the system does not have. Sides name such shards in
//! their replies to heartbeats ([`super::recover_sides`]). Other entries are queried for the answers
//! that they delivered ([`super::recover_entries`]), since the previous keeper may still run. The
//! successor takes no turn until all have answered, as [`takeover`] decides.

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

/// Outcome of recovering a turn that another process holds.
pub(super) enum Recovery {
    /// The turn is committed here, now or earlier; it is durable once the ticket's change is.
    Committed(keeper::Ticket),
    /// An earlier turn of the program is missing.
    Gap,
    /// The turn's shard is not kept here.
    NotKept,
}

/// Commits a turn that another entry forwards. Returns false if its shard is not kept here, an earlier
/// turn is missing, or the store does not accept it: the other entry then continues to hold it.
pub async fn accept(entry: &entry::Entry, held: side::Held) -> bool {
    let shard = entry.keeper.shard_of(&held.program);
    if entry.serving_fence(shard).is_none() {
        return false;
    }
    match commit_held(entry, "its previous keeper", held) {
        Recovery::Committed(ticket) => entry.keeper.wait_durable(ticket).await.is_ok(),
        Recovery::Gap | Recovery::NotKept => false,
    }
}

/// Forwards a turn whose answer was delivered to its caller to the keeper that took the shard.
///
/// # Errors
///
/// When no keeper has accepted it in time.
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

/// Whether recovery of `shard` is complete, so that its turns may be served.
pub fn is_complete(entry: &entry::Entry, shard: id::ShardId) -> bool {
    let Some(since) = entry.keeper.kept_since(shard) else {
        return false;
    };
    let now = Instant::now();
    // After the grace period the shard is served even if turns are missing. Checked first, since most
    // shards have been kept for far longer.
    let options = takeover::Options::default();
    if now.saturating_duration_since(since) > options.grace {
        return true;
    }
    takeover::decide(now, since, &holders(entry, shard), &options).serves()
}

/// Describes for operators the recovery of `shard` and the processes that may hold turns of it.
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
                "; {what} last answered {last_answered:?} ago, unresponsive for {unresponsive:?}, gone {gone}, pending turns {pending}"
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

/// Commits a turn that `from` holds, unless it is committed already.
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
