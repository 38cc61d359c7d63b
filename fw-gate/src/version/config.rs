//! The operators' configuration, and which route a request takes.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::team;

/// Number of a configuration; grows in uneven steps.
pub type Version = u64;

/// What may be done twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: it may run more than once.
    #[default]
    Safe,
    /// It may run once at most.
    Unsafe,
    /// A series of events; it may run once at most unless the route can resume it.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for log lines.
    pub name: SmolStr,
    /// The host it covers.
    pub host: SmolStr,
    /// The start of the paths it covers; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// How long a request may be kept waiting for its whole answer.
    pub timeout: Duration,
    /// Rank among the routes; 0 goes first.
    pub priority: u32,
    /// Services that serve it, with their parts of the requests.
    pub services: Vec<(id::ServiceId, f64)>,
    /// Upstreams that may run one request.
    pub attempts: u32,
    /// For how long a turn is kept; `None` where callers send whole prompts.
    pub keep_turns: Option<Duration>,
    /// Whether an upstream that lately handled the object is faster.
    pub sticky: bool,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Whether requests need no API key.
    pub is_open: bool,
}

impl Default for Route {
    fn default() -> Self {
        Self {
            name: SmolStr::default(),
            host: SmolStr::default(),
            prefix: "/".to_owned(),
            kind: Kind::Safe,
            timeout: Duration::from_secs(30),
            priority: 0,
            services: Vec::new(),
            attempts: 1,
            keep_turns: None,
            sticky: false,
            resumable: false,
            is_open: false,
        }
    }
}

impl Route {
    /// Whether a request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// The service for a request; `draw` is uniform in `0.0..1.0`.
    pub fn service(&self, draw: f64) -> Option<&id::ServiceId> {
        let total: f64 = self.services.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
        for (service, weight) in &self.services {
            left -= weight;
            if left < 0.0 {
                return Some(service);
            }
        }
        self.services.last().map(|(service, _)| service)
    }
}

/// One service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its engines, if its upstreams run models.
    pub engine: Option<Engine>,
}

/// What a service's model engines are like.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests that run together.
    pub slots: u32,
    /// Tokens counted for each event of a stream.
    pub tokens_per_event: id::Tokens,
}

/// What callers may send, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest wait for a request's head once it has begun.
    pub header_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its number.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services. Ordered, so that equal configurations are encoded alike.
    pub services: BTreeMap<id::ServiceId, Service>,
    /// Bounds on what callers send.
    pub limits: Limits,
    /// The teams; `None` where requests need no API key.
    pub teams: Option<team::Teams>,
}

impl Config {
    /// The route of `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let covers = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        let routes = self.routes.iter().filter(covers);
        routes.max_by_key(|route| route.prefix.len())
    }

    /// Tokens counted for each event of a stream of `service`.
    pub fn tokens_per_event(&self, service: &id::ServiceId) -> id::Tokens {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        // Without an engine the service declares no tokens; one an event is the least it can be.
        engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }
}
