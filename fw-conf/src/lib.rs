//! INI settings of the entry and the side, with validation of every key.
//!
//! [`entry::Settings`] and [`side::Settings`] are read by their `load` or `parse`, which report
//! every unknown, missing, malformed and out-of-range key at once. The keys of each section are
//! declared in one table, from which the structs, the parser and the reference page ([`page`]) are
//! generated.
//!
//! ```
//! use fw_conf::side;
//!
//! let errs = side::Settings::parse("side.ini", "[queue]\nwindow = many\n").unwrap_err();
//! let first = errs.to_string().lines().next().map(str::to_owned);
//! assert!(first.is_some_and(|line| line.starts_with("side.ini:2: [queue] window: ")));
//! ```

pub mod balance;
pub mod codec;
pub mod entry;
pub mod error;
pub mod key;
mod lines;
pub mod page;
mod reader;
mod schema;
pub mod shared;
pub mod side;
