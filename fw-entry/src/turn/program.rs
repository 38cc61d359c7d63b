//! Queries for a program's state, and the end of a program, at its keeper.

use std::sync::Arc;

use fw_base::error;
use fw_keep::keeper;
use fw_keep::program;
use fw_wire::peer;
use fw_wire::transport;

use crate::process::entry;
use crate::process::keepers;

type Reply = Result<Box<peer::Program>, error::Error>;

/// Queries a program at its keeper, local or remote.
///
/// # Errors
///
/// When there is no such program for the team, or no keeper is found in time.
pub async fn query(entry: &Arc<entry::Entry>, req: &peer::Query) -> Reply {
    let within = entry.settings.upstream.connect_timeout * 4;
    let local = || {
        let reply = query_local(entry, req);
        async move { to_outcome(reply) }
    };
    let remote = |client: peer::PeerClient| {
        let req = req.clone();
        async move {
            client
                .program(transport::context(within), req)
                .await
                .map(to_outcome)
        }
    };
    let shard = entry.keeper.shard_of(&req.program);
    let (_location, reply) = keepers::call(entry, shard, options(entry), local, remote).await?;
    reply
}

/// Ends a program at its keeper, local or remote. Ending it again changes nothing.
///
/// # Errors
///
/// As [`query`].
pub async fn end(entry: &Arc<entry::Entry>, req: &peer::Query) -> Reply {
    let within = entry.settings.keeper.commit_wait * 2;
    let local = || async { to_outcome(end_local(entry, req).await) };
    let remote = |client: peer::PeerClient| {
        let req = req.clone();
        async move {
            client
                .end(transport::context(within), req)
                .await
                .map(to_outcome)
        }
    };
    let shard = entry.keeper.shard_of(&req.program);
    let (_location, reply) = keepers::call(entry, shard, options(entry), local, remote).await?;
    reply
}

fn options(entry: &entry::Entry) -> keepers::Options {
    keepers::Options {
        timeout: entry.keeper_timeout(),
        idempotent: true,
    }
}

fn to_outcome(reply: peer::QueryReply) -> keepers::CallOutcome<Reply> {
    match reply {
        peer::QueryReply::Found(program) => keepers::CallOutcome::Answered(Ok(program)),
        peer::QueryReply::Refused(err) => keepers::CallOutcome::Answered(Err(err)),
        peer::QueryReply::NotKeeper => keepers::CallOutcome::NotKeeper,
    }
}

/// Answers [`query`] at the keeper.
pub fn query_local(entry: &entry::Entry, req: &peer::Query) -> peer::QueryReply {
    let shard = entry.keeper.shard_of(&req.program);
    // The state here may be outdated if the program continued elsewhere, so it must not be returned.
    if entry.serving_fence(shard).is_none() || !entry.keeper.is_sole_keeper_of(shard) {
        return peer::QueryReply::NotKeeper;
    }
    let found = entry.keeper.with_shard(shard, |shard| {
        let program = shard.program(&req.program).ok_or_else(unknown)?;
        if *program.team() != req.team {
            return Err(wrong_team());
        }
        Ok(describe(req, program))
    });
    match found.map(|changed| changed.value) {
        Err(_) => peer::QueryReply::NotKeeper,
        Ok(Ok(program)) => peer::QueryReply::Found(Box::new(program)),
        Ok(Err(err)) => peer::QueryReply::Refused(err),
    }
}

/// Answers [`end`] at the keeper. Heartbeats repeat the end to the sides until they have freed the
/// program's KV cache.
pub async fn end_local(entry: &entry::Entry, req: &peer::Query) -> peer::QueryReply {
    let shard = entry.keeper.shard_of(&req.program);
    if entry.serving_fence(shard).is_none() {
        return peer::QueryReply::NotKeeper;
    }
    let now = keeper::now();
    let ended = entry
        .keeper
        .with_shard(shard, |shard| shard.end(&req.program, &req.team, now));
    let Ok(ended) = ended else {
        return peer::QueryReply::NotKeeper;
    };
    match ended.value {
        Err(err) if entry.may_refuse(shard, &err) => return peer::QueryReply::Refused(err),
        Err(_unsure) => return peer::QueryReply::NotKeeper,
        Ok(Some(attempt)) => entry.attempts.stop(attempt),
        Ok(None) => {}
    }
    let stored = entry.keeper.wait_durable(ended.ticket).await;
    entry.release(&req.program).await;
    match stored {
        Ok(()) => query_local(entry, req),
        Err(_) => peer::QueryReply::Refused(not_stored(entry)),
    }
}

/// The error for an end that is not in the store. A take-over would undo it: the program and its KV
/// cache would stay, although its caller received the answer that it ended.
fn not_stored(entry: &entry::Entry) -> error::Error {
    let message = "the program's end is not stored yet; end it again";
    error::Error::new(error::Kind::KeeperLost, message)
        .with_retry_after(entry.settings.keeper.lease_ttl)
}

fn describe(req: &peer::Query, program: &program::Program) -> peer::Program {
    let history = match req.with_history {
        true => program.history().to_vec(),
        false => Vec::new(),
    };
    peer::Program {
        program: req.program.clone(),
        status: program.status().as_str().to_owned(),
        turn: program.turn(),
        digest: program.digest(),
        tokens: program.ledger().spent().tokens,
        tokens_left: program.tokens_left(),
        team: program.team().clone(),
        history,
    }
}

fn unknown() -> error::Error {
    let message = "no such program; it never began, or its retention has expired";
    error::Error::new(error::Kind::UnknownProgram, message)
}

fn wrong_team() -> error::Error {
    error::Error::new(
        error::Kind::ForeignProgram,
        "the program belongs to another team",
    )
}
