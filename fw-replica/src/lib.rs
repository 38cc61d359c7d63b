//! Replicated records of turns and token budgets, without a leader.
//!
//! Every stored record is immutable: a finished turn, a reservation of tokens, the settlement of a
//! reservation. Replicas therefore need no common order, and no program waits for a failover. A
//! record counts as stored once `f + 1` replicas have it on disk, where `f` is the number of
//! instances whose disks may be lost together. A reservation needs a majority of the members, so
//! that any two concurrent ones share at least one replica.
//!
//! ```
//! use fw_replica::member;
//!
//! let quorum = member::Quorum::of(3, 1);
//! assert_eq!(quorum.write, 2);
//! assert_eq!(quorum.vote, 2);
//! assert_eq!(quorum.absent, 2);
//! ```

pub mod affinity;
pub mod beginnings;
pub mod client;
pub mod codec;
pub mod entry_load;
pub mod journal;
pub mod ledger;
pub mod links;
pub mod member;
pub mod prefix;
pub mod record;
pub mod relay;
pub mod serve;
pub mod server;
pub mod service;
pub mod startup;
pub mod state;
pub mod stated_speed;
pub mod streams;
pub mod sync;
pub mod tally;
pub mod team_usage;
pub mod traffic;
pub mod writer;
