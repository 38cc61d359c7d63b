//! Confirmation that the list of upstreams is current, and the calls that wait for it.

use std::time::Duration;

use fw_base::clock;
use fw_plan::confirm;
use tokio::sync::{Notify, watch};

/// Tracks the time up to which the list is confirmed to be complete. Times are since boot.
#[derive(Debug)]
pub struct Confirmation {
    freshness: watch::Sender<confirm::ListFreshness>,
    /// Notified when a call begins to wait for a confirmation.
    waiters: Notify,
}

impl Confirmation {
    /// Creates the state in which nothing is confirmed yet.
    pub fn new(opts: confirm::Options) -> Self {
        Self {
            freshness: watch::Sender::new(confirm::ListFreshness::new(opts)),
            waiters: Notify::new(),
        }
    }

    /// Records that the list has all changes that the store had acknowledged at `requested_at`.
    pub fn record_read(&self, requested_at: Duration) {
        let now = clock::since_boot();
        self.freshness.send_modify(|freshness| {
            if freshness.confirm(requested_at, now) {
                tracing::info!("the list of upstreams is confirmed again");
            }
        });
    }

    /// Time since the request of the last read that confirmed the list; `None` if there was none yet.
    pub fn age(&self) -> Option<Duration> {
        self.freshness.borrow().age(clock::since_boot())
    }

    /// Records that a read of the store requested at `requested_at` has failed.
    pub fn record_failure(&self, requested_at: Duration) {
        let now = clock::since_boot();
        self.update(|freshness| freshness.read_failed(requested_at, now));
    }

    /// Records that a read of the store requested at `requested_at` was not answered in time.
    pub fn record_unanswered(&self, requested_at: Duration) {
        let now = clock::since_boot();
        self.update(|freshness| freshness.read_unanswered(requested_at, now));
    }

    /// Waits until the list is fresh enough for calls to be sent, or nobody confirms it in time.
    pub async fn wait(&self) {
        loop {
            let started_at = clock::since_boot();
            let outcome = self.freshness.borrow().decide(started_at);
            let confirm::Outcome::Wait(wait) = outcome else {
                return;
            };
            let is_sendable = self.wait_until_sendable(wait).await;
            let now = clock::since_boot();
            let waited = now.saturating_sub(started_at);
            metrics::histogram!("fw_gate_confirm_seconds").record(waited.as_secs_f64());
            if !is_sendable {
                self.update(|freshness| freshness.wait_expired(waited, now));
            }
        }
    }

    /// Waits until calls may be sent, at most for `wait`; returns whether they may.
    async fn wait_until_sendable(&self, wait: Duration) -> bool {
        let mut rx = self.freshness.subscribe();
        self.waiters.notify_one();
        let is_sendable = |freshness: &confirm::ListFreshness| {
            freshness.decide(clock::since_boot()) == confirm::Outcome::Send
        };
        let sendable = rx.wait_for(is_sendable);
        tokio::time::timeout(wait, sendable).await.is_ok()
    }

    fn update(&self, apply: impl FnOnce(&mut confirm::ListFreshness)) {
        self.freshness.send_modify(|freshness| {
            let was_cut_off = freshness.is_cut_off();
            apply(freshness);
            if freshness.is_cut_off() && !was_cut_off {
                let age = freshness.age(clock::since_boot());
                tracing::info!(
                    ?age,
                    "the list of upstreams cannot be confirmed; calls are sent without confirmation"
                );
                metrics::counter!("fw_gate_unconfirmed_total").increment(1);
            }
        });
    }

    /// Waits until a read of the store is needed to confirm the list again.
    pub async fn wait_needed(&self) {
        let mut rx = self.freshness.subscribe();
        loop {
            let now = clock::since_boot();
            let (is_wanted, wanted_in) = {
                let freshness = rx.borrow_and_update();
                (freshness.needs_refresh(now), freshness.refresh_due_in(now))
            };
            let due = async {
                match wanted_in.filter(|time| !time.is_zero()) {
                    Some(time) => tokio::time::sleep(time).await,
                    // The first read is made in any case.
                    None => std::future::pending().await,
                }
            };
            if is_wanted && wanted_in.is_some() {
                return;
            }
            tokio::select! {
                _ = rx.changed() => {}
                () = self.waiters.notified() => {}
                () = due => {}
            }
        }
    }
}
