//! The calls that an entry prepares in the first seconds after its start, in the order of
//! [`fw_plan::start_order`].

use std::sync::Arc;
use std::time::Duration;

use fw_plan::start_order;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The calls that are being prepared or held.
#[derive(Debug)]
pub struct FirstCalls {
    opts: start_order::Options,
    started: Instant,
    preparing: Mutex<[u32; start_order::CLASSES]>,
    /// Notified when a call has been prepared.
    changed: Notify,
}

impl FirstCalls {
    /// Creates the state of an entry that starts now.
    pub fn new(opts: start_order::Options) -> Arc<Self> {
        Arc::new(Self {
            opts,
            started: Instant::now(),
            preparing: Mutex::default(),
            changed: Notify::new(),
        })
    }

    /// Whether calls are no longer ordered.
    pub fn is_over(&self) -> bool {
        self.started.elapsed() >= self.opts.window
    }

    /// Counts a call of `class` that is prepared from now on.
    pub fn enter(self: &Arc<Self>, class: start_order::Class) -> Arc<Preparing> {
        self.preparing.lock()[class as usize] += 1;
        Arc::new(Preparing {
            calls: Arc::clone(self),
            class,
        })
    }
}

/// A call that is being prepared, until this is dropped.
#[derive(Debug)]
pub struct Preparing {
    calls: Arc<FirstCalls>,
    class: start_order::Class,
}

impl Preparing {
    /// Waits while calls of other classes go first.
    pub async fn wait_turn(&self) {
        let calls = &self.calls;
        let begun = Instant::now();
        loop {
            let mut changed = std::pin::pin!(calls.changed.notified());
            // A call that ends between the decision and the wait wakes this one too.
            changed.as_mut().enable();
            let (now, held) = (calls.started.elapsed(), begun.elapsed());
            let preparing = *calls.preparing.lock();
            match calls.opts.decide(self.class, now, held, &preparing) {
                start_order::Outcome::Prepare => return self.record_hold(held),
                start_order::Outcome::Hold(time) => {
                    let _ = tokio::time::timeout(time, changed).await;
                }
            }
        }
    }

    fn record_hold(&self, held: Duration) {
        if self.class != start_order::Class::UnderWay {
            metrics::histogram!("fw_gate_start_held_seconds").record(held.as_secs_f64());
        }
    }
}

impl Drop for Preparing {
    fn drop(&mut self) {
        let mut preparing = self.calls.preparing.lock();
        let calls = &mut preparing[self.class as usize];
        *calls = calls.saturating_sub(1);
        if *calls == 0 {
            self.calls.changed.notify_waiters();
        }
    }
}
