//! Errors of calls to the store, and whether a failed call may have taken effect.

use fw_base::error;
use fw_base::id;
use snafu::Snafu;

use crate::kv;

/// gRPC status codes with which the store rejects a call before it applies it: invalid argument,
/// not found, already exists, permission denied, resource exhausted, failed precondition, out of
/// range, unimplemented, unauthenticated. With any other code the outcome is unknown.
const CODES_NOT_APPLIED: [u32; 9] = [3, 5, 6, 7, 8, 9, 11, 12, 16];

/// A failed call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No endpoint could be reached, and nothing was sent.
    #[snafu(display("the store cannot be reached: {source}"))]
    Unreachable {
        /// The error of the last endpoint tried.
        source: fw_http::Error,
    },
    /// The call was sent and its answer did not arrive.
    #[snafu(display("the store's answer was lost: {source}"))]
    AnswerLost {
        /// The error of the connection.
        source: fw_http::Error,
    },
    /// The store answered with an error.
    #[snafu(display("the store answered {status} (code {code}): {message}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// gRPC status code, or 0 if the answer had none.
        code: u32,
        /// The store's error message.
        message: String,
    },
    /// The answer does not have the expected shape.
    #[snafu(display("the store's answer is malformed: {reason}"))]
    Malformed {
        /// The malformed part and its error.
        reason: String,
    },
    /// Events that the watch has not delivered were compacted: read the whole prefix again and
    /// watch from its revision.
    #[snafu(display("revisions before {revision} were compacted; read the prefix again"))]
    Compacted {
        /// The oldest revision that can still be watched.
        revision: id::Revision,
    },
    /// The lease lapsed or was revoked.
    #[snafu(display("lease {id} has lapsed"))]
    LeaseGone {
        /// Its id.
        id: kv::LeaseId,
    },
    /// The watch was closed by the store or its connection failed; the next call reopens it.
    #[snafu(display("the watch ended: {reason}"))]
    WatchEnded {
        /// The cause.
        reason: String,
    },
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Whether a write may have taken effect although it failed.
    ///
    /// If so, the caller must read back and compare before it writes again: a blind retry could apply
    /// the write twice, or fail its comparison because of the first write and look like a conflict.
    pub fn may_have_applied(&self) -> bool {
        match self {
            Self::AnswerLost { .. } | Self::Malformed { .. } => true,
            Self::Refused { code, .. } => !CODES_NOT_APPLIED.contains(code),
            Self::Unreachable { .. }
            | Self::Compacted { .. }
            | Self::LeaseGone { .. }
            | Self::WatchEnded { .. } => false,
        }
    }

    /// The kind reported to callers and operators.
    pub fn kind(&self) -> error::Kind {
        match self {
            Self::Malformed { .. } => error::Kind::Internal,
            Self::Refused { code, .. } if CODES_NOT_APPLIED.contains(code) => error::Kind::Internal,
            _ => error::Kind::StoreUnavailable,
        }
    }

    /// Value of the `outcome` label on the call counter.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            Self::Unreachable { .. } => "unreachable",
            Self::AnswerLost { .. } => "answer_lost",
            Self::Refused { .. } => "refused",
            Self::Malformed { .. } => "malformed",
            Self::Compacted { .. } => "compacted",
            Self::LeaseGone { .. } => "lease_gone",
            Self::WatchEnded { .. } => "watch_ended",
        }
    }
}

impl From<fw_http::Error> for Error {
    fn from(source: fw_http::Error) -> Self {
        if source.is_unsent() {
            Self::Unreachable { source }
        } else {
            Self::AnswerLost { source }
        }
    }
}

impl From<Error> for error::Error {
    fn from(err: Error) -> Self {
        Self::new(err.kind(), err.to_string())
    }
}
