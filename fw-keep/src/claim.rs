//! State machine of one idempotency key: a call under it runs at most once.
//!
//! The claim is durable before the call is sent, so a keeper that takes over the shard finds it in
//! the journal. A claim without a recorded outcome is never run again, because it is unknown
//! whether the call was sent.

use std::time::Duration;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::error::Kind;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Identifies a claim. Equal keys of different teams are different claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The team.
    pub team: id::TeamId,
    /// The caller's `Idempotency-Key`.
    pub key: SmolStr,
}

impl Key {
    /// The text whose hash determines the claim's shard.
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

/// State of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The claim is not durable yet; the call was not sent.
    Opening,
    /// The claim is durable; the call may have been sent.
    Open,
    /// The call was answered.
    Done(Answer),
    /// The call may have been sent, and its outcome was not recorded.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Fingerprint of the call: method, path and body.
    pub fingerprint: Digest,
    /// State of the call.
    pub state: State,
    /// Time at which the state was entered.
    pub since: Duration,
}

/// Answer to a call whose key is already claimed.
#[derive(Clone, Debug, PartialEq)]
pub enum Duplicate {
    /// The call ran and had this answer.
    Replay(Answer),
    /// The call must not run.
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

    /// Answers a call whose key is already claimed. The holder of a claim that has been open for
    /// longer than `open_timeout` is presumed to have failed.
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
                "a call under this `Idempotency-Key` is under way; retry to get its answer",
            ),
        }
    }

    /// Records that the claim is durable.
    pub fn mark_open(&mut self, now: Duration) {
        if self.state == State::Opening {
            self.enter(State::Open, now);
        }
    }

    /// Records the call's answer. The first answer stands: a late duplicate doesn't replace it.
    pub fn record_answer(&mut self, answer: Answer, now: Duration) -> bool {
        if matches!(self.state, State::Done(_)) {
            return false;
        }
        self.enter(State::Done(answer), now);
        true
    }

    /// Whether the key may still be released by a report that the call did not run.
    pub fn is_unsettled(&self) -> bool {
        !matches!(self.state, State::Done(_))
    }

    /// Records that the claim's holder failed. Its successor can't determine whether the call was
    /// sent.
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
        "a call under this `Idempotency-Key` was sent and its outcome is not known; check its \
         effect before you send it under a new key",
    )
}

fn refused(kind: Kind, message: &str) -> Duplicate {
    Duplicate::Refused(error::Error::new(kind, message))
}
