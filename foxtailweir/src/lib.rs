//! The commands of the `foxtailweir` program, as a library that the binary and tests call.
//!
//! ```
//! use foxtailweir::command::{self, exit, io};
//!
//! let mut out = Vec::new();
//! let mut err = Vec::new();
//! let mut io = io::Io { out: &mut out, err: &mut err };
//! let exit = command::run(&["--help".to_owned()], &mut io);
//! assert_eq!(exit, exit::Exit::Success);
//! ```

pub mod admin;
pub mod budget;
pub mod command;
pub mod demo;
pub mod logs;
pub mod serve;
