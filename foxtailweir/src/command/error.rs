//! Errors of commands.

use fw_conf::error;
use snafu::Snafu;

use super::exit;
use crate::admin;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// The fault.
        message: String,
    },
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// All faults, one per line.
        source: error::Errors,
    },
    /// The request to the entry's admin address failed.
    #[snafu(transparent)]
    Admin {
        /// The client's error.
        source: admin::Error,
    },
    /// Any other failure.
    #[snafu(display("{message}"))]
    Failed {
        /// What failed, and why.
        message: String,
    },
}

impl Error {
    /// Returns the exit status for this error.
    pub fn exit(&self) -> exit::Exit {
        match self {
            Self::Usage { .. } | Self::Settings { .. } => exit::Exit::Usage,
            Self::Admin { .. } | Self::Failed { .. } => exit::Exit::Failure,
        }
    }
}

/// Returns an [`Error::Usage`].
pub fn usage<T>(message: impl Into<String>) -> Result<T, Error> {
    UsageSnafu { message }.fail()
}
