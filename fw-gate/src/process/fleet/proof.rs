//! How new the list of upstreams is known to be, and the calls that wait for a newer proof.

use std::time::Duration;

use fw_base::clock;
use fw_plan::confirm;
use tokio::sync::{Notify, watch};

/// Up to which moment the list is known. Times are since boot.
#[derive(Debug)]
pub struct Proof {
    known: watch::Sender<confirm::ListFreshness>,
    /// Notified when a call begins to wait.
    waiting: Notify,
}

impl Proof {
    /// Nothing is proven yet.
    pub fn new(opts: confirm::Options) -> Self {
        Self {
            known: watch::Sender::new(confirm::ListFreshness::new(opts)),
            waiting: Notify::new(),
        }
    }

    /// All changes are known that the store had acknowledged at `asked`.
    pub fn prove(&self, asked: Duration) {
        let now = clock::since_boot();
        self.known.send_modify(|known| {
            if known.confirm(asked, now) {
                tracing::info!("the list of upstreams is confirmed again");
            }
        });
    }

    /// A read of the store that was asked at `asked` has failed.
    pub fn failed(&self, asked: Duration) {
        let now = clock::since_boot();
        self.change(|known| known.read_failed(asked, now));
    }

    /// A read of the store that was asked at `asked` is not answered in time.
    pub fn unanswered(&self, asked: Duration) {
        let now = clock::since_boot();
        self.change(|known| known.read_unanswered(asked, now));
    }

    /// Returns once a call may be sent by the list.
    pub async fn confirm(&self) {
        loop {
            let begun = clock::since_boot();
            let outcome = self.known.borrow().decide(begun);
            let confirm::Outcome::Wait(wait) = outcome else {
                return;
            };
            let is_settled = self.settled(wait).await;
            let now = clock::since_boot();
            let waited = now.saturating_sub(begun);
            metrics::histogram!("fw_gate_confirm_seconds").record(waited.as_secs_f64());
            if !is_settled {
                self.change(|known| known.wait_expired(waited, now));
            }
        }
    }

    /// Waits, up to `wait`, until calls need not wait.
    async fn settled(&self, wait: Duration) -> bool {
        let mut rx = self.known.subscribe();
        self.waiting.notify_one();
        let is_settled = |known: &confirm::ListFreshness| {
            known.decide(clock::since_boot()) == confirm::Outcome::Send
        };
        let settled = rx.wait_for(is_settled);
        tokio::time::timeout(wait, settled).await.is_ok()
    }

    fn change(&self, change: impl FnOnce(&mut confirm::ListFreshness)) {
        self.known.send_modify(|known| {
            let was_cut_off = known.is_cut_off();
            change(known);
            if known.is_cut_off() && !was_cut_off {
                let age = known.age(clock::since_boot());
                tracing::info!(
                    ?age,
                    "nobody confirms the list of upstreams; calls are sent by it as it is"
                );
                metrics::counter!("fw_gate_unconfirmed_total").increment(1);
            }
        });
    }

    /// Ready while a newer proof is wanted than the one that is known.
    pub async fn wanted(&self) {
        let mut rx = self.known.subscribe();
        loop {
            let now = clock::since_boot();
            let (is_wanted, wanted_in) = {
                let known = rx.borrow_and_update();
                (known.needs_refresh(now), known.refresh_due_in(now))
            };
            let due = async {
                match wanted_in.filter(|time| !time.is_zero()) {
                    Some(time) => tokio::time::sleep(time).await,
                    // The first read is due anyway.
                    None => std::future::pending().await,
                }
            };
            if is_wanted && wanted_in.is_some() {
                return;
            }
            tokio::select! {
                _ = rx.changed() => {}
                () = self.waiting.notified() => {}
                () = due => {}
            }
        }
    }
}
