//! The life cycle of one idempotency key: a call under it runs at most once.
//!
//! The claim is durable before the call is sent, so whoever takes over the shard finds it. A claim
//! found without an outcome is never run again: nobody can tell whether the call was sent.

use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Names a claim; keys of different teams never meet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The team.
    pub team: id::TeamId,
    /// The caller's `Idempotency-Key`.
    pub key: SmolStr,
}

impl Key {
    /// The text whose hash says which shard keeps the claim.
    pub fn shard_name(&self) -> String {
        format!("{}/{}", self.team, self.key)
    }
}

/// An answer kept for replay.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header.
    pub content_type: String,
    /// The body, base64; empty if it was too large to keep.
    pub body: String,
    /// Whether the body was too large to keep.
    pub truncated: bool,
}

/// What is known of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The claim is on its way to the store; the call was not sent.
    Opening,
    /// The claim is durable; the call may have been sent.
    Open,
    /// The call was answered.
    Done(Answer),
    /// The call may have been sent, by a holder that is gone.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fingerprint of the call: method, path and body.
    pub fingerprint: Digest,
    /// What is known of the call.
    pub state: State,
    /// When the state was entered.
    pub since: Duration,
}

/// What an existing claim means for the same key sent again.
#[derive(Clone, Debug, PartialEq)]
pub enum Duplicate {
    /// The call ran; this was its answer.
    Replay(Answer),
    /// It must not run.
    Refused(error::Error),
}

impl Claim {
    /// A claim that is not durable yet.
    pub fn new(fingerprint: Digest, now: Duration) -> Self {
        Self {
            fingerprint,
            state: State::Opening,
            since: now,
        }
    }

    /// Answers a call under a key that is claimed already. An open claim older than `open_timeout` is
    /// taken to have lost its holder.
    pub fn answer_duplicate(
        &self,
        fingerprint: Digest,
        open_timeout: Duration,
        now: Duration,
    ) -> Duplicate {
        if fingerprint != self.fingerprint {
            return refused(
                Kind::KeyReused,
                "`Idempotency-Key` was used for another call; choose a new key",
            );
        }
        match &self.state {
            State::Done(answer) => Duplicate::Replay(answer.clone()),
            State::Unknown => may_have_run(),
            State::Open if now.saturating_sub(self.since) > open_timeout => may_have_run(),
            State::Opening | State::Open => refused(
                Kind::KeyInUse,
                "a call under this `Idempotency-Key` is under way; ask again for its answer",
            ),
        }
    }

    /// Notes that the claim is durable.
    pub fn mark_open(&mut self, now: Duration) {
        if self.state == State::Opening {
            self.enter(State::Open, now);
        }
    }

    /// Notes the call's answer. A first answer stands: a late duplicate doesn't replace it.
    pub fn record_answer(&mut self, answer: Answer, now: Duration) -> bool {
        if matches!(self.state, State::Done(_)) {
            return false;
        }
        self.enter(State::Done(answer), now);
        true
    }

    /// Whether "it did not run" may still free the key.
    pub fn is_unsettled(&self) -> bool {
        !matches!(self.state, State::Done(_))
    }

    /// Notes that the holder is gone: whoever takes over can't know whether the call was sent.
    pub fn mark_orphaned(&mut self) {
        if self.is_unsettled() {
            self.state = State::Unknown;
        }
    }

    fn enter(&mut self, state: State, now: Duration) {
        self.state = state;
        self.since = now;
    }
}

fn may_have_run() -> Duplicate {
    refused(
        Kind::MayHaveRun,
        "a call under this `Idempotency-Key` was sent and its outcome is not known; look at its \
         effect before you send it under a new key",
    )
}

fn refused(kind: Kind, message: &str) -> Duplicate {
    Duplicate::Refused(error::Error::new(kind, message))
}
