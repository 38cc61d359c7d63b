//! The entry: takes callers' requests, routes them to upstreams, and keeps their turns and budgets
//! with the replicas.
//!
//! It knows calls, turns, routes and upstreams, but neither a platform's names nor the form of a
//! prompt: an adapter says under which headers things stand ([`names::HeaderNames`]) and tells it of
//! configurations, upstreams and replicas ([`process::gate::Gate`]).
//!
//! ```
//! use fw_gate::version::config;
//!
//! let route = config::Route { host: "a.example".into(), prefix: "/b/".into(), ..Default::default() };
//! let cfg = config::Config { routes: vec![route], ..Default::default() };
//! assert!(cfg.route("a.example", "/b/c").is_some());
//! assert!(cfg.route("a.example", "/c/").is_none());
//! ```

pub mod connection;
pub mod names;
pub mod process;
pub mod request;
pub mod version;
