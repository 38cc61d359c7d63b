//! Storing the outcome of a turn.
//!
//! With locality, a turn's record goes to `f + 1` members at first, near ones before others, and its
//! settlement and location to all. A turn is stored once `f + 1` members have it on disk, so the other
//! members get the record only if one of the first does not confirm in time.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use super::{Client, Locality, RETRY_PAUSES};
use crate::{member, service};

/// The members that store a turn at first, and the others.
struct Quorum<'a> {
    epoch: member::Epoch,
    members: &'a [SocketAddr],
    others: &'a [SocketAddr],
}

impl Client {
    /// Stores the outcome of a turn. Returns `true` once it is on `f + 1` disks, `false` if that
    /// fails. Replicas that did not store it are retried in the background.
    pub async fn finish(self: &Arc<Self>, req: service::Finish) -> bool {
        let (epoch, members) = self.members();
        let needed = member::Quorum::of(members.len(), self.faults).write;
        let locality = *self.locality.lock();
        if let Some(locality) = locality.filter(|_| req.turn.is_some() && members.len() > needed) {
            let first = Quorum {
                epoch,
                members: &members[..needed],
                others: &members[needed..],
            };
            return self.finish_at_quorum(&first, req, locality).await;
        }
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

    /// Stores the turn of `req` at the members of `first`, and at the others if one of them fails or is
    /// late. Returns whether it is on as many disks as `first` has members.
    async fn finish_at_quorum(
        self: &Arc<Self>,
        first: &Quorum<'_>,
        req: service::Finish,
        locality: Locality,
    ) -> bool {
        let settlement = service::Finish {
            turn: None,
            ..req.clone()
        };
        if settlement.charge.is_some() || settlement.location.is_some() {
            for &addr in first.others {
                let (client, settlement) = (Arc::clone(self), settlement.clone());
                tokio::spawn(async move { client.finish_at(addr, settlement).await });
            }
        }
        let (tx, mut rx) = mpsc::unbounded_channel();
        for &addr in first.members {
            let (client, req, tx) = (Arc::clone(self), req.clone(), tx.clone());
            tokio::spawn(client.finish_or_retry(addr, first.epoch, req, tx));
        }
        let mut others = Some(tx);
        let mut stored = 0;
        let late = tokio::time::sleep(locality.confirm_within);
        tokio::pin!(late);
        while stored < first.members.len() {
            let answer = tokio::select! {
                answer = rx.recv() => answer,
                () = &mut late, if others.is_some() => Some(false),
            };
            match answer {
                Some(true) => stored += 1,
                Some(false) => {
                    if let Some(tx) = others.take() {
                        self.widen(first.others, &req, &tx);
                    }
                }
                None => return false,
            }
        }
        true
    }

    /// Stores `req` at one of the first members, and like any other outcome if that fails. Sends the
    /// result of both.
    async fn finish_or_retry(
        self: Arc<Self>,
        addr: SocketAddr,
        epoch: member::Epoch,
        req: service::Finish,
        tx: mpsc::UnboundedSender<bool>,
    ) {
        let stored = self.call_finish_quorum(addr, epoch, req.clone()).await;
        // A caller that has enough answers is gone.
        let _ = tx.send(stored);
        if !stored {
            let _ = tx.send(self.finish_at(addr, req).await);
        }
    }

    /// Sends the turn of `req` to the members that did not get it at first.
    fn widen(
        self: &Arc<Self>,
        others: &[SocketAddr],
        req: &service::Finish,
        tx: &mpsc::UnboundedSender<bool>,
    ) {
        metrics::counter!("fw_replica_widened_total").increment(1);
        let record = service::Finish {
            charge: None,
            location: None,
            ..req.clone()
        };
        for &addr in others {
            let (client, record, tx) = (Arc::clone(self), record.clone(), tx.clone());
            tokio::spawn(async move {
                // A caller that has enough answers is gone.
                let _ = tx.send(client.finish_at(addr, record).await);
            });
        }
    }

    /// Sends `req` to one replica; retries in the background if that fails.
    async fn finish_at(self: &Arc<Self>, addr: SocketAddr, req: service::Finish) -> bool {
        if self.call_finish(addr, req.clone()).await {
            return true;
        }
        let Some(resend) = self.resends.try_begin(self.links.max_calls()) else {
            metrics::counter!("fw_replica_unsent_total").increment(1);
            return false;
        };
        let client = Arc::clone(self);
        tokio::spawn(async move {
            let _resend = resend;
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
