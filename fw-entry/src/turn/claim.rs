//! Claims on idempotency keys, by which a call that is not idempotent is sent at most once.
//!
//! The claim is durable in the journal before the call is sent. A keeper that takes over finds it there
//! and refuses a repeat as "may have run" instead of sending the call again.

use std::sync::Arc;

use fw_base::error;
use fw_keep::claim;
use fw_keep::keeper;
use fw_wire::peer;
use fw_wire::transport;

use crate::process::entry;
use crate::process::keepers;

/// Counter of claim steps, by step and outcome.
pub const CLAIMS: &str = "fw_entry_claims_total";

/// Outcome of a step of a claim.
#[derive(Clone, Debug)]
pub enum StepOutcome {
    /// The claim is durable: the call may be sent once.
    Granted,
    /// The call ran before, with this answer.
    Replay(peer::StoredAnswer),
    /// The outcome is recorded.
    Settled,
}

type Reply = Result<StepOutcome, error::Error>;

/// Performs a step of a claim at its keeper, local or remote.
///
/// # Errors
///
/// When the claim is not granted; the kind states whether a call under the key ran.
pub async fn step(entry: &Arc<entry::Entry>, req: &peer::Claim) -> Reply {
    let within = entry.settings.keeper.commit_wait * 2;
    let local = || async { to_outcome(apply_step(entry, req).await) };
    let remote = |client: peer::PeerClient| {
        let req = req.clone();
        async move {
            client
                .claim(transport::context(within), req)
                .await
                .map(to_outcome)
        }
    };
    let options = keepers::Options {
        timeout: entry.keeper_timeout(),
        // If the answer to an `Open` is lost, a second one finds the key in use: a claim is not granted
        // twice. The refusal as "in use" for the caller's own claim is safe, if inconvenient.
        idempotent: !matches!(req.step, peer::ClaimStep::Open),
    };
    let shard = entry.keeper.shard_of(&key(req).shard_name());
    let (_location, reply) = keepers::call(entry, shard, options, local, remote)
        .await
        .map_err(|err| not_sent(req, err))?;
    reply
}

/// Maps the loss of the keeper while a claim is opened to "not run": the call was not sent yet.
fn not_sent(req: &peer::Claim, err: error::Error) -> error::Error {
    match (&req.step, err.kind) {
        (peer::ClaimStep::Open, error::Kind::KeeperLost) => {
            let message = "the key's keeper was lost before the call was sent";
            error::Error::new(error::Kind::KeeperUnavailable, message)
        }
        _ => err,
    }
}

fn to_outcome(reply: peer::ClaimReply) -> keepers::CallOutcome<Reply> {
    keepers::CallOutcome::Answered(match reply {
        peer::ClaimReply::Granted => Ok(StepOutcome::Granted),
        peer::ClaimReply::Replay(answer) => Ok(StepOutcome::Replay(answer)),
        peer::ClaimReply::Settled => Ok(StepOutcome::Settled),
        peer::ClaimReply::Refused(err) => Err(err),
        peer::ClaimReply::NotKeeper => return keepers::CallOutcome::NotKeeper,
    })
}

fn key(req: &peer::Claim) -> claim::Key {
    claim::Key {
        team: req.team.clone(),
        key: req.key.as_str().into(),
    }
}

/// Performs a step of a claim at this entry, its keeper.
pub async fn apply_step(entry: &entry::Entry, req: &peer::Claim) -> peer::ClaimReply {
    let (step, reply) = match &req.step {
        peer::ClaimStep::Open => ("open", open(entry, req).await),
        peer::ClaimStep::NotRun => {
            let reply = settle(entry, req, keeper::Settlement::NotRun).await;
            ("not_run", reply)
        }
        peer::ClaimStep::Unknown => {
            let reply = settle(entry, req, keeper::Settlement::Unknown).await;
            ("unknown", reply)
        }
        peer::ClaimStep::Done(answer) => {
            let reply = settle(
                entry,
                req,
                keeper::Settlement::Done(to_claim_answer(answer)),
            )
            .await;
            ("done", reply)
        }
    };
    let outcome = match &reply {
        peer::ClaimReply::Refused(err) => err.kind.row().label,
        peer::ClaimReply::NotKeeper => "not_keeper",
        _ => "ok",
    };
    metrics::counter!(CLAIMS, "step" => step, "outcome" => outcome).increment(1);
    tracing::info!(entry = %entry.id, key = %req.key, step, outcome, "claim");
    reply
}

async fn open(entry: &entry::Entry, req: &peer::Claim) -> peer::ClaimReply {
    match entry.keeper.claim(&key(req), req.fingerprint).await {
        keeper::ClaimResult::Granted => peer::ClaimReply::Granted,
        keeper::ClaimResult::Replay(answer) => peer::ClaimReply::Replay(peer::StoredAnswer {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
            truncated: answer.truncated,
        }),
        keeper::ClaimResult::NotKeeper => peer::ClaimReply::NotKeeper,
        keeper::ClaimResult::Refused(err) => peer::ClaimReply::Refused(err),
    }
}

async fn settle(
    entry: &entry::Entry,
    req: &peer::Claim,
    how: keeper::Settlement,
) -> peer::ClaimReply {
    let Ok(ticket) = entry.keeper.settle(&key(req), req.fingerprint, how) else {
        return peer::ClaimReply::NotKeeper;
    };
    if let Some(ticket) = ticket {
        // If it is not durable in time, it becomes so later, or a take-over answers "may have run". The
        // caller receives its answer in both cases.
        let _later = entry.keeper.wait_durable(ticket).await;
    }
    peer::ClaimReply::Settled
}

fn to_claim_answer(answer: &peer::StoredAnswer) -> claim::Answer {
    claim::Answer {
        status: answer.status,
        content_type: answer.content_type.clone(),
        body: answer.body.clone(),
        truncated: answer.truncated,
    }
}
