//! The operators' configuration, and the choice of a request's route.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::id;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::team;

/// Version number of a configuration; increases, but not always by one.
pub type Version = u64;

/// Kind of a route's requests, which states whether they may be repeated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: a request may run more than once.
    #[default]
    Safe,
    /// Not idempotent: a request may run at most once.
    Unsafe,
    /// Answered by a stream of events: a request may run at most once unless the route is resumable.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for log lines.
    pub name: SmolStr,
    /// The host it applies to.
    pub host: SmolStr,
    /// Prefix of the paths it applies to; begins and ends with a slash.
    pub prefix: String,
    /// Kind of its requests.
    pub kind: Kind,
    /// Timeout of a request, until its answer is complete.
    pub timeout: Duration,
    /// Priority among the routes; 0 is the highest.
    pub priority: u32,
    /// Services that serve it, with their weights.
    pub services: Vec<(id::ServiceId, f64)>,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
    /// How long a turn is stored; `None` where callers send whole prompts.
    pub keep_turns: Option<Duration>,
    /// Whether an upstream that recently handled the same object is faster.
    pub sticky: bool,
    /// Whether a broken stream may be resumed at another upstream.
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

    /// Chooses the service for a request by weight; `draw` is uniform in `0.0..1.0`.
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
    /// Its model engines, if its upstreams run models.
    pub engine: Option<Engine>,
}

/// Properties of a service's model engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Number of tokens charged for each event of a stream.
    pub tokens_per_event: id::Tokens,
    /// Tokens that fit into the KV cache; 0 if the configuration does not state it.
    pub kv_tokens: id::Tokens,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub header_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Timeout for a request's head once it has begun.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
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
    /// Its version.
    pub version: Version,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services. The map is ordered, so that equal configurations have equal encodings.
    pub services: BTreeMap<id::ServiceId, Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// The teams; `None` where requests need no API key.
    pub teams: Option<team::Teams>,
}

impl Config {
    /// The route of `host` whose prefix is the longest that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let covers = |route: &&Route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        };
        let routes = self.routes.iter().filter(covers);
        routes.max_by_key(|route| route.prefix.len())
    }

    /// Tokens that fit into the KV cache of an engine of `service`; 0 if it is not stated.
    pub fn kv_tokens(&self, service: &id::ServiceId) -> id::Tokens {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        engine.map_or(0, |engine| engine.kv_tokens)
    }

    /// Number of tokens charged for each event of a stream of `service`.
    pub fn tokens_per_event(&self, service: &id::ServiceId) -> id::Tokens {
        let engine = self.services.get(service).and_then(|s| s.engine.as_ref());
        // A service without an engine declares no number of tokens; each event has at least one.
        engine.map_or(1, |engine| engine.tokens_per_event.max(1))
    }
}
