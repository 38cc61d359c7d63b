//! The process beside each upstream.
//!
//! The side owns the queue in front of its upstream: it accepts turns from keepers under a current
//! fencing number, releases them by priority, keeps their answers for readers by offset, frees
//! engine memory of programs that no keeper renews, and forwards plain calls in a lane of their
//! own. Modules are laid out by life span: [`request`], [`connection`] and [`process`].
//!
//! ```
//! # tokio::runtime::Runtime::new().expect("a runtime").block_on(async {
//! let side = fw_side::Side::spawn(fw_side::Options::default()).await.expect("a free port");
//! assert_ne!(side.calls().port(), 0);
//! side.stop().await;
//! # });
//! ```

pub mod connection;
pub mod errors;
pub mod options;
pub mod process;
pub mod request;

pub use options::Options;
pub use process::serve::Side;
pub use process::serve::run;
