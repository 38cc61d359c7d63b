//! Configuration records written by operators, in two schema versions, and the set in force.
//!
//! A record is a JSON object with a `schema` number. [`document`] parses and rewrites it without
//! losing unknown fields; [`set`] is a snapshot of all records at one revision of the store;
//! [`holder`] holds the newest snapshot that a process has received; [`write`] changes records in
//! the store by compare-and-swap and [`load`] reads and watches them; [`admin`] handles operators'
//! requests.
//!
//! ```
//! use fw_record::{document, key, set};
//!
//! let team = document::Document::parse(
//!     key::Name::new(key::Kind::Team, "officers"),
//!     br#"{"schema": 2, "share": 2.0}"#,
//! ).expect("a valid record");
//! let set = set::Set::from_documents(7, vec![(5, team)]);
//! assert_eq!(set.team("officers").map(|team| team.share), Some(2.0));
//! ```

pub mod admin;
pub mod budget;
pub mod document;
pub mod envelope;
pub mod field;
pub mod holder;
pub mod key;
pub mod load;
pub mod route;
pub mod schema;
pub mod service;
pub mod set;
pub mod team;
pub mod write;
