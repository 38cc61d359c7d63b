//! Notice of restarts of upstreams whose connections broke while their addresses accepted others.

use std::net::SocketAddr;
use std::time::Duration;

use fw_base::id;
use fw_plan::quarantine;
use tokio::sync::{Semaphore, watch};
use tokio::time;

use super::{Fleet, Upstream};

/// How long after a broken connection a newly listed start shows that the upstream has crashed: a supervisor starts
/// it again within some seconds, and an entry learns of that within 1.4 s.
const NOTICE: Duration = Duration::from_secs(10);
/// Greatest number of calls that wait for a restart at a time.
const MAX_WAITS: usize = 1_024;

/// Changes of the list, and the calls that wait for them.
#[derive(Debug)]
pub(super) struct Restarts {
    list_changed: watch::Sender<()>,
    waits: Semaphore,
}

impl Default for Restarts {
    fn default() -> Self {
        Self {
            list_changed: watch::Sender::default(),
            waits: Semaphore::new(MAX_WAITS),
        }
    }
}

impl Restarts {
    /// Records that the list has changed.
    pub(super) fn note_list_changed(&self) {
        self.list_changed.send_replace(());
    }
}

impl Fleet {
    /// Whether the list states within [`NOTICE`] that an upstream of `service_id` has started since the incarnation `at`,
    /// under its id or, at its address `addr`, under another. Returns at once if [`MAX_WAITS`] calls wait already.
    pub async fn restarts_soon(
        &self,
        service_id: &id::ServiceId,
        at: &quarantine::Incarnation,
        addr: SocketAddr,
    ) -> bool {
        let Ok(_wait) = self.restarts.waits.try_acquire() else {
            metrics::counter!("fw_gate_quarantine_total", "event" => "unwatched").increment(1);
            return false;
        };
        let mut list_changed = self.restarts.list_changed.subscribe();
        let restart = async {
            while !self.has_restarted(service_id, at, addr) {
                if list_changed.changed().await.is_err() {
                    return false;
                }
            }
            true
        };
        time::timeout(NOTICE, restart).await.unwrap_or(false)
    }

    fn has_restarted(
        &self,
        service_id: &id::ServiceId,
        at: &quarantine::Incarnation,
        addr: SocketAddr,
    ) -> bool {
        let Some(service) = self.service(service_id) else {
            return false;
        };
        let is_later = |upstream: &Upstream| {
            if upstream.listed.id == at.upstream {
                upstream.listed.started_at != at.started_at
            } else {
                upstream.listed.addr == addr && upstream.listed.started_at > at.started_at
            }
        };
        service.lock().upstreams.iter().any(is_later)
    }
}
