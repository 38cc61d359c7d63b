//! Program state, journal, claims and shard leases over the platform's store.
//!
//! The core is pure: it knows neither clock, network nor runtime. [`program`] and [`claim`] are the
//! life cycles of one program and one idempotency key, [`shard`] holds those that hash together,
//! [`journal`] is their form in the store, [`commit`] writes it, [`balance`] decides who keeps
//! which shard, [`progress`] who is passed over, and [`owners`] is what is known of the keepers. [`keeper`] is the thin shell that runs them on tokio against a store.
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
