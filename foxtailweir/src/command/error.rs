//! Why a command failed.

use fw_conf::error;
use snafu::Snafu;

use super::exit;
use crate::admin;

/// A failed command.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The command line is wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong with it.
        message: String,
    },
    /// The settings are wrong.
    #[snafu(display("{source}"))]
    Settings {
        /// Every problem, a line each.
        source: error::Errors,
    },
    /// The entry did not do what it was asked.
    #[snafu(transparent)]
    Admin {
        /// Why not.
        source: admin::Error,
    },
    /// Something else failed.
    #[snafu(display("{message}"))]
    Failed {
        /// What.
        message: String,
    },
}

impl Error {
    /// How the command ends.
    pub fn exit(&self) -> exit::Exit {
        match self {
            Self::Usage { .. } | Self::Settings { .. } => exit::Exit::Usage,
            Self::Admin { .. } | Self::Failed { .. } => exit::Exit::Failure,
        }
    }
}

/// An error about the command line.
pub fn usage<T>(message: impl Into<String>) -> Result<T, Error> {
    UsageSnafu { message }.fail()
}
