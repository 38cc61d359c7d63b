//! The entry: accepts callers' requests, routes them to upstreams, and stores their turns and token
//! budgets on the replicas.
//!
//! It works on calls, turns, routes and upstreams, and depends neither on a platform's names nor on the
//! format of a prompt: an adapter supplies the names of headers ([`names::HeaderNames`]) and passes in
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
