//! The closed set of error kinds, and the table that maps each kind to its answer.
//!
//! Every refusal and failure that leaves a process has a [`Kind`]. The HTTP status, whether the call
//! may have run, whether to retry and the metric label all come from [`Kind::row`], and from nowhere
//! else.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Whether the call was executed by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte of the call reached an upstream, or the upstream's side reports that it did not run.
    No,
    /// It may have run; sending it again may run it twice.
    Maybe,
    /// It ran.
    Yes,
}

/// Properties of a kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the call ran.
    pub ran: Ran,
    /// Whether the same call may succeed later.
    pub retry: bool,
    /// Value of the metric label `kind`, and of `kind` in the JSON answer.
    pub label: &'static str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $ran:ident, $retry:literal, $label:literal;)*) => {
        /// All kinds of errors that are reported to callers, operators or other processes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The properties of this kind.
            pub const fn row(self) -> Row {
                match self {
                    $(Self::$kind => Row {
                        status: $status,
                        ran: Ran::$ran,
                        retry: $retry,
                        label: $label,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request is malformed; the message names the field.
    BadRequest => 400, No, false, "bad_request";
    /// The body exceeds the configured size.
    BodyTooLarge => 413, No, false, "body_too_large";
    /// The caller's API key belongs to no team.
    Unauthorized => 401, No, false, "unauthorized";
    /// No service serves the model.
    UnknownModel => 404, No, false, "unknown_model";
    /// No route covers the path.
    UnknownRoute => 404, No, false, "unknown_route";
    /// The program does not exist.
    UnknownProgram => 404, No, false, "unknown_program";
    /// The record does not exist.
    UnknownRecord => 404, No, false, "unknown_record";
    /// The program was ended.
    ProgramEnded => 410, No, false, "program_ended";
    /// The turn is not the next one.
    WrongTurn => 409, No, false, "wrong_turn";
    /// The same turn was sent before with another body.
    TurnChanged => 409, No, false, "turn_changed";
    /// The messages do not continue the committed history.
    HistoryMismatch => 409, No, false, "history_mismatch";
    /// The program belongs to another team.
    ForeignProgram => 403, No, false, "foreign_program";
    /// A call that is not idempotent has no `Idempotency-Key`.
    MissingKey => 400, No, false, "missing_key";
    /// The `Idempotency-Key` was used before with another body.
    KeyReused => 422, No, false, "key_reused";
    /// A call with this `Idempotency-Key` is still in progress.
    KeyInUse => 409, Maybe, true, "key_in_use";
    /// A call with this `Idempotency-Key` was sent and its outcome is unknown.
    MayHaveRun => 409, Maybe, false, "may_have_run";
    /// The program has no turns, tokens or time left.
    BudgetExhausted => 403, No, false, "budget_exhausted";
    /// The program's tokens are used or reserved.
    TokensSpent => 402, No, false, "tokens_spent";
    /// The turn is not stored, or its retention period is over.
    UnknownTurn => 404, No, false, "unknown_turn";
    /// The body did not arrive in time.
    SlowRequest => 408, No, true, "slow_request";
    /// The team has used up its quota.
    QuotaExceeded => 429, No, true, "quota_exceeded";
    /// The entry's set of API keys is too old to accept one.
    StaleKeys => 503, No, true, "stale_keys";
    /// The entry has no configuration yet.
    NotReady => 503, No, true, "not_ready";
    /// Too few replicas answer to decide whether the turn may run.
    ReplicasUnsure => 503, No, true, "replicas_unsure";
    /// The upstream accepts no connection.
    UpstreamUnreachable => 503, No, true, "upstream_unreachable";
    /// The upstream is full and has not run the call.
    UpstreamFull => 503, No, true, "upstream_full";
    /// Another upstream has the address now; it has not run the call.
    Misdirected => 503, No, true, "misdirected";
    /// The upstream's answer is not one to this call, or not whole.
    SpoiledAnswer => 502, Maybe, true, "spoiled_answer";
    /// The entry takes no further work of this sort for now.
    Overloaded => 503, No, true, "overloaded";
    /// The team uses more than its share while others wait.
    ShareExceeded => 429, No, true, "share_exceeded";
    /// The queue in front of the upstream is full.
    QueueFull => 503, No, true, "queue_full";
    /// The call could not start before its deadline.
    DeadlineUnmeetable => 503, No, true, "deadline_unmeetable";
    /// The retry budget of the service is spent.
    RetryBudget => 503, No, true, "retry_budget";
    /// No healthy upstream can take the call.
    NoUpstream => 503, No, true, "no_upstream";
    /// The upstream is leaving.
    UpstreamLeaving => 503, No, true, "upstream_leaving";
    /// The program's keeper has failed and its shard has not been taken over yet.
    KeeperUnavailable => 503, No, true, "keeper_unavailable";
    /// The program's keeper changed while the call was in progress.
    KeeperLost => 503, Maybe, true, "keeper_lost";
    /// The platform's store does not answer, and the call is not safe without it.
    StoreUnavailable => 503, No, true, "store_unavailable";
    /// The process is shutting down.
    ShuttingDown => 503, No, true, "shutting_down";
    /// The sender's fencing number is older than one already seen.
    StaleFence => 503, No, true, "stale_fence";
    /// Requests like this one have crashed upstreams.
    Quarantined => 422, No, false, "quarantined";
    /// Requests like this one have crashed upstreams; one is tried again later.
    CrashQuarantine => 503, No, true, "crash_quarantine";
    /// A segment of the journal is torn, missing or foreign.
    JournalCorrupt => 500, No, false, "journal_corrupt";
    /// The upstream crashed or closed the connection during the call.
    UpstreamCrashed => 502, Maybe, true, "upstream_crashed";
    /// The upstream answered with an error.
    UpstreamError => 502, Yes, false, "upstream_error";
    /// The upstream did not answer in time.
    UpstreamTimeout => 504, Maybe, true, "upstream_timeout";
    /// The deadline passed while the call was in progress.
    DeadlineExceeded => 504, Maybe, true, "deadline_exceeded";
    /// The attempt was cancelled by its caller, or because its caller disconnected.
    Cancelled => 409, Maybe, false, "cancelled";
    /// The record was changed concurrently; the answer contains both versions.
    RecordConflict => 409, No, false, "record_conflict";
    /// The record is malformed; the message names the field.
    BadRecord => 400, No, false, "bad_record";
    /// A fault in the system itself.
    Internal => 500, Maybe, true, "internal";
    /// It is not known at which software version the stream began that the caller takes up.
    UnknownStream => 503, No, true, "unknown_stream";
    /// No upstream has the software version at which the stream began that the caller takes up.
    VersionGone => 503, No, true, "version_gone";
}

/// An error as sent to other processes and, as JSON, to callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{}: {message}", kind.row().label))]
pub struct Error {
    /// The kind of error.
    pub kind: Kind,
    /// One sentence that names the field or object, its bounds and the remedy.
    pub message: String,
    /// Time after which the same call may be sent again, if the kind allows retries.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// An error without `retry_after`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after: None,
        }
    }

    /// The same error with `retry_after`.
    pub fn with_retry_after(self, after: Duration) -> Self {
        Self {
            retry_after: Some(after),
            ..self
        }
    }

    /// Whether the call ran.
    pub fn ran(&self) -> Ran {
        self.kind.row().ran
    }

    /// The error to report for a call whose last attempt failed with this error and an earlier one with
    /// `earlier`.
    ///
    /// A refused attempt did not run. Reported alone, it would state "not run" for a call that an earlier
    /// attempt may have run.
    pub fn merge_earlier(self, earlier: Option<Self>) -> Self {
        match earlier {
            Some(earlier) if self.ran() == Ran::No && earlier.ran() != Ran::No => Self {
                retry_after: self.retry_after,
                ..earlier
            },
            _ => self,
        }
    }
}

impl From<crate::chat::ParseError> for Error {
    fn from(err: crate::chat::ParseError) -> Self {
        Self::new(Kind::BadRequest, err.to_string())
    }
}
