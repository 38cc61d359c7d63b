//! Program state, journal, claims and shard leases over the platform's store.
//!
//! The core does no I/O: it uses neither clock, network nor async runtime. [`program`] and [`claim`]
//! are the state machines of one program and one idempotency key, [`shard`] groups those whose names
//! hash to the same shard, [`journal`] is their format in the store, and [`commit`] writes it.
//! [`balance`] assigns shards to entries, [`progress`] detects entries that do not take their shards,
//! and [`owners`] caches the current keepers. [`keeper`] runs all of them on tokio against a store.
//!
//! ```
//! use fw_base::chat;
//! use fw_keep::program;
//! use fw_keep::shard;
//!
//! let mut shard = shard::Shard::new(7);
//! let begin = program::Begin {
//!     team: "team".into(),
//!     messages: vec![chat::Message::text("user", "hello")],
//!     attempt: 1,
//!     ..program::Begin::default()
//! };
//! let now = std::time::Duration::ZERO;
//! let outcome = shard.begin(&"p".into(), begin, now);
//! assert!(matches!(outcome, program::Outcome::Run(run) if run.turn == 1));
//! ```

pub mod balance;
pub mod claim;
pub mod commit;
pub mod journal;
pub mod keeper;
pub mod ledger;
pub mod owners;
pub mod program;
pub mod progress;
pub mod shard;
