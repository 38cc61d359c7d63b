//! Storing the outcome of a turn.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Client, RETRY_PAUSES};
use crate::{member, service};

impl Client {
    /// Stores the outcome of a turn. Returns `true` once it is on `f + 1` disks, `false` if that
    /// fails. Replicas that did not store it are retried in the background.
    pub async fn finish(self: &Arc<Self>, req: service::Finish) -> bool {
        let (_, members) = self.members();
        let needed = member::Quorum::of(members.len(), self.faults).write;
        let mut calls: FuturesUnordered<_> = members
            .iter()
            .map(|&addr| {
                let client = Arc::clone(self);
                let req = req.clone();
                tokio::spawn(async move { client.finish_at(addr, req).await })
            })
            .collect();
        let mut stored = 0;
        while stored < needed {
            match calls.next().await {
                Some(Ok(true)) => stored += 1,
                Some(_) => {}
                None => return false,
            }
        }
        true
    }

    /// Sends `req` to one replica; retries in the background if that fails.
    async fn finish_at(self: &Arc<Self>, addr: SocketAddr, req: service::Finish) -> bool {
        if self.call_finish(addr, req.clone()).await {
            return true;
        }
        let client = Arc::clone(self);
        tokio::spawn(async move {
            for pause in RETRY_PAUSES {
                tokio::time::sleep(pause).await;
                if client.call_finish(addr, req.clone()).await {
                    return;
                }
            }
            metrics::counter!("fw_replica_unsent_total").increment(1);
        });
        false
    }
}
