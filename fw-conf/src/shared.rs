//! Sections that both programs have.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use crate::codec;
use crate::schema;

/// A port of the loopback interface that the system picks.
pub(crate) const LOOPBACK_ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub(crate) const fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Human,
    /// One JSON object a line.
    Json,
}

/// The least severe lines that are written.
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
    /// The word for the level, as `tracing` reads it.
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
    /// What happens between the order to stop and the end of the process.
    Shutdown in "shutdown" {
        /// How long requests under way may take to end before the process ends anyway.
        drain_timeout: Duration = secs(60), codec::time(ms(100)..=secs(3600));
    }
}

schema::section! {
    /// Log lines, on standard error.
    Log in "log" {
        /// How lines are written.
        format: Format = Format::Human, codec::choice(FORMATS);
        /// The least severe lines that are written.
        level: Level = Level::Info, codec::choice(LEVELS);
    }
}
