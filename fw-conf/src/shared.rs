//! Sections that the entry and the side have in common.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::codec;
use crate::schema;

/// A loopback address with port 0, for which the system picks a free port.
pub(crate) const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Human-readable text.
    Human,
    /// One JSON object per line.
    Json,
}

/// The lowest severity that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Level {
    /// Errors only.
    Error,
    /// Warnings too.
    Warn,
    /// Changes of state too.
    Info,
    /// Details too.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// The level's name, as parsed by `tracing`.
    pub fn as_str(self) -> &'static str {
        let found = LEVELS.iter().find(|(_, level)| *level == self);
        found.map_or("info", |(word, _)| word)
    }
}

const FORMATS: &[(&str, Format)] = &[("human", Format::Human), ("json", Format::Json)];

const LEVELS: &[(&str, Level)] = &[
    ("error", Level::Error),
    ("warn", Level::Warn),
    ("info", Level::Info),
    ("debug", Level::Debug),
    ("trace", Level::Trace),
];

schema::section! {
    /// Graceful shutdown, from the request to stop to the end of the process.
    Shutdown in "shutdown" {
        /// How long requests in progress may take to finish before the process exits anyway.
        drain_timeout: Duration = secs(60), codec::time(ms(100)..=secs(3600));
    }
}

schema::section! {
    /// Log lines, on standard error.
    Log in "log" {
        /// Format of log lines.
        format: Format = Format::Human, codec::choice(FORMATS);
        /// The lowest severity that is logged.
        level: Level = Level::Info, codec::choice(LEVELS);
    }
}
