//! Submission of a turn: from the entry that received the call to the keeper, and its acceptance there.

use std::sync::Arc;
use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_keep::keeper;
use fw_keep::program;
use fw_plan::admit;
use fw_plan::quarantine;
use fw_wire::attempt;
use fw_wire::peer;
use fw_wire::transport;
use rand::RngExt;

use super::commit;
use super::plan;
use super::run;
use crate::connection::recover;
use crate::process::admission;
use crate::process::entry;
use crate::process::keepers;

/// Counter of submitted turns, by outcome.
pub const SUBMITTED: &str = "fw_entry_turns_submitted_total";

/// A turn that its keeper accepted.
#[derive(Clone, Copy, Debug)]
pub struct Accepted {
    /// The entry that keeps it.
    pub location: keepers::Location,
    /// The attempt to read.
    pub attempt: id::AttemptId,
    /// Its number.
    pub turn: id::Turn,
}

/// Submits a turn to its keeper, local or remote.
///
/// # Errors
///
/// When the turn is refused, or no keeper is found in time.
pub async fn submit_to_keeper(
    entry: &Arc<entry::Entry>,
    req: &peer::Submit,
) -> Result<Accepted, error::Error> {
    let within = entry.settings.upstream.connect_timeout * 4;
    let local = || {
        let reply = accept(entry, req.clone());
        async move { to_outcome(reply) }
    };
    let remote = |client: peer::PeerClient| {
        let req = req.clone();
        async move {
            client
                .submit(transport::context(within), req)
                .await
                .map(to_outcome)
        }
    };
    let options = keepers::Options {
        timeout: entry.keeper_timeout().min(req.deadline),
        idempotent: is_idempotent(req),
    };
    let shard = entry.keeper.shard_of(&req.program);
    let (location, reply) = keepers::call(entry, shard, options, local, remote).await?;
    let (attempt, turn) = reply?;
    Ok(Accepted {
        location,
        attempt,
        turn,
    })
}

/// Whether the keeper can distinguish a repeated submission from the next turn: by the turn's number, by
/// the digest of the history before it, or by the full history.
fn is_idempotent(req: &peer::Submit) -> bool {
    let named = req.turn.is_some() || req.base.is_some();
    named || req.single || req.history == peer::History::Full
}

type Reply = Result<(id::AttemptId, id::Turn), error::Error>;

fn to_outcome(reply: peer::SubmitReply) -> keepers::CallOutcome<Reply> {
    match reply {
        peer::SubmitReply::Accepted { attempt, turn } => {
            keepers::CallOutcome::Answered(Ok((attempt, turn)))
        }
        peer::SubmitReply::Refused(err) => keepers::CallOutcome::Answered(Err(err)),
        peer::SubmitReply::NotKeeper => keepers::CallOutcome::NotKeeper,
    }
}

/// Accepts or refuses a turn at this entry, its keeper.
pub fn accept(entry: &Arc<entry::Entry>, req: peer::Submit) -> peer::SubmitReply {
    let program = req.program.clone();
    let reply = try_accept(entry, req);
    let outcome = match &reply {
        peer::SubmitReply::Accepted { .. } => "accepted",
        peer::SubmitReply::NotKeeper => "not_keeper",
        peer::SubmitReply::Refused(err) => err.kind.row().label,
    };
    metrics::counter!(SUBMITTED, "outcome" => outcome).increment(1);
    if let peer::SubmitReply::Refused(err) = &reply {
        entry
            .explain
            .record(&program, "refused", refusal_reason(entry, &program, err));
    }
    reply
}

/// Describes the error. If the caller's view of the program differs, the recovery state of the shard is
/// added.
fn refusal_reason(entry: &entry::Entry, program: &id::ProgramId, err: &error::Error) -> String {
    use error::Kind::HistoryMismatch;
    use error::Kind::UnknownProgram;
    use error::Kind::WrongTurn;
    let differs = matches!(err.kind, HistoryMismatch | UnknownProgram | WrongTurn);
    if !differs {
        return err.to_string();
    }
    let shard = entry.keeper.shard_of(program);
    format!("{err}; {}", recover::describe_recovery(entry, shard))
}

fn try_accept(entry: &Arc<entry::Entry>, req: peer::Submit) -> peer::SubmitReply {
    let shard = entry.keeper.shard_of(&req.program);
    let Some(fence) = entry.serving_fence(shard) else {
        return peer::SubmitReply::NotKeeper;
    };
    let plan = match plan::Plan::new(entry, &req, shard, fence) {
        Ok(plan) => plan,
        Err(err) => return peer::SubmitReply::Refused(err),
    };
    match begin(entry, &req, &plan) {
        None => peer::SubmitReply::NotKeeper,
        Some(program::Outcome::Refused(err)) if entry.may_refuse(shard, &err) => {
            peer::SubmitReply::Refused(err)
        }
        Some(program::Outcome::Refused(_unsure)) => peer::SubmitReply::NotKeeper,
        Some(program::Outcome::Attach { attempt, turn }) => {
            entry.attempts.attach(attempt);
            peer::SubmitReply::Accepted { attempt, turn }
        }
        Some(program::Outcome::Replay {
            attempt,
            turn,
            answer,
        }) => match replay(entry, &req, attempt, answer) {
            Ok(()) => peer::SubmitReply::Accepted { attempt, turn },
            Err(_not_kept) => peer::SubmitReply::NotKeeper,
        },
        Some(program::Outcome::Run(run)) => start(entry, req, plan, run),
    }
}

fn begin(entry: &entry::Entry, req: &peer::Submit, plan: &plan::Plan) -> Option<program::Outcome> {
    let begin = program::Begin {
        team: req.team.clone(),
        parent: req.parent.clone(),
        turn: req.turn,
        base: req.base,
        history: match req.history {
            peer::History::Full => program::History::Full,
            peer::History::Delta => program::History::Delta,
        },
        messages: req.messages.clone(),
        params: params_digest(&req.model, &req.params),
        attempt: rand::rng().random(),
        max_tokens: Some(plan.max_tokens),
        limits: plan.limits,
    };
    let now = keeper::now();
    if req.single {
        let mut program = program::Program::new(req.team.clone(), None, now);
        return Some(program.begin(begin, now));
    }
    let begun = entry
        .keeper
        .with_shard(plan.shard, |shard| shard.begin(&req.program, begin, now));
    begun.ok().map(|changed| changed.value)
}

/// Fingerprint of a turn with this complete `prompt`, the same when its team sends it again. Crashes under
/// another team's turns, or under other parameters, say nothing of it.
pub fn fingerprint(req: &peer::Submit, prompt: &digest::Digest) -> quarantine::Fingerprint {
    let params = params_digest(&req.model, &req.params);
    let parts = [params.as_bytes(), prompt.as_bytes(), req.team.as_bytes()];
    digest::Digest::of_bytes(&parts.concat())
}

/// Digest of the model and the caller's other fields, which identify a turn together with its messages.
pub fn params_digest(model: &id::ModelId, params: &str) -> digest::Digest {
    digest::Digest::of_bytes(format!("{model}\n{params}").as_bytes())
}

fn start(
    entry: &Arc<entry::Entry>,
    req: peer::Submit,
    plan: plan::Plan,
    run: program::Run,
) -> peer::SubmitReply {
    let (attempt, turn) = (run.attempt, run.turn);
    let permit = match admit(entry, &req, &plan, &run) {
        Ok(permit) => permit,
        Err(err) => {
            revert(entry, &req.program, plan.shard, attempt);
            return peer::SubmitReply::Refused(err);
        }
    };
    let buf = entry.attempts.open(attempt);
    entry.attempts.attach(attempt);
    let max_tokens = run.max_tokens.unwrap_or(plan.max_tokens);
    let task = run::Task::new(Arc::clone(entry), req, plan, run, permit, max_tokens);
    entry.tasks.spawn(task.run(buf));
    peer::SubmitReply::Accepted { attempt, turn }
}

/// Removes a turn that was begun and then refused: it did not run.
fn revert(
    entry: &entry::Entry,
    program: &id::ProgramId,
    shard: id::ShardId,
    attempt: id::AttemptId,
) {
    let now = keeper::now();
    // If the shard is no longer kept here, no state of the turn is left either.
    let _moved = entry.keeper.with_shard(shard, |shard| {
        shard.fail(program, attempt, error::Ran::No, now)
    });
}

fn admit(
    entry: &Arc<entry::Entry>,
    req: &peer::Submit,
    plan: &plan::Plan,
    run: &program::Run,
) -> Result<admission::Permit, error::Error> {
    let now = entry.now();
    let outcome = entry.suspects.decide(now, &fingerprint(req, &run.digest));
    if let quarantine::Outcome::Refused { retry_after } = outcome {
        return Err(run::quarantined(retry_after));
    }
    let lane = match run.turn {
        1 => admit::Lane::NewProgram,
        _ => admit::Lane::Turn,
    };
    entry.admission.enter(admit::Request {
        lane,
        team: req.team.clone(),
        share: plan.share,
        deadline: req.deadline,
    })
}

/// Makes a committed answer readable again, if its events are gone or end with an error.
///
/// An entry that is cut off from the store fails a turn that it has committed in memory, and may still
/// keep the shard afterwards. Reading that attempt again would return the error to callers of every
/// entry for as long as ended attempts are retained. The answer itself is complete, so it is delivered
/// as soon as the store has it.
///
/// # Errors
///
/// The shard's owner, if the shard is no longer kept here.
fn replay(
    entry: &Arc<entry::Entry>,
    req: &peer::Submit,
    attempt: id::AttemptId,
    answer: program::Answer,
) -> Result<(), keeper::Owner> {
    if entry.attempts.has_answer(attempt) {
        return Ok(());
    }
    let kept = entry.keeper.with_program(&req.program, |_| ())?;
    let why = "the turn's earlier attempt was lost or ended with an error".to_owned();
    entry.explain.record(&req.program, "answered again", why);
    let buf = entry.attempts.open(attempt);
    buf.push(events_of(&req.model, attempt, &answer));
    let finish = attempt::Finish {
        message: answer.message,
        finish_reason: answer.finish_reason,
        usage: answer.usage,
        queued: Duration::ZERO,
        first_token: Duration::ZERO,
        ran: Duration::ZERO,
    };
    let task_entry = Arc::clone(entry);
    let end = async move { commit::end_once_durable(&task_entry, &buf, finish, kept.ticket).await };
    entry.tasks.spawn(end);
    Ok(())
}

/// A committed answer as two chunks: the message, and the finish reason.
fn events_of(
    model: &id::ModelId,
    attempt: id::AttemptId,
    answer: &program::Answer,
) -> Vec<attempt::Event> {
    let delta: serde_json::Value =
        serde_json::from_str(answer.message.as_str()).unwrap_or_default();
    let chunk = |delta: serde_json::Value, reason: Option<&str>| {
        let value = serde_json::json!({
            "id": format!("chatcmpl-{attempt:016x}"),
            "object": "chat.completion.chunk",
            "created": 0,
            "model": model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        });
        attempt::Event::from(value.to_string())
    };
    let end = chunk(serde_json::json!({}), Some(&answer.finish_reason));
    vec![chunk(delta, None), end]
}
