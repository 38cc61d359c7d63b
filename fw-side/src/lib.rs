//! The side: a sidecar process that runs next to each upstream.
//!
//! It owns the queue in front of its upstream. It accepts turns from keepers that present a current
//! fencing number, dispatches them by priority, buffers their answers for readers by offset,
//! releases the KV cache of programs that no keeper renews, and forwards plain calls with a
//! concurrency limit of their own. Modules are grouped by lifetime: [`request`], [`connection`] and
//! [`process`].
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
