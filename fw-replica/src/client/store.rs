//! Storing the outcome of a turn.
//!
//! With locality, a turn's record goes to `f + 1` members at first, near ones before others, and its
//! settlement and location to all. A turn is stored once `f + 1` members have it on disk, so the other
//! members get the record only if one of the first does not confirm in time.
//!
//! A turn is stored only at members that have the whole chain which it continues, once a turn of the chain would
//! expire before it does: they are sent the part that they lack. So the chain of a stored turn lasts on `f + 1`
//! disks as long as the turn can be continued. Until then a chain may lie on other members than the turn, as
//! sending it to each data centre that a program passes through costs more than most programs last.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use super::{Client, Locality, RETRY_PAUSES};
use crate::{member, record, service};

/// Bytes of a chain in one message to a replica, unless one turn has more: a link of 100 Mbit/s takes
/// 80 ms for them.
const CHAIN_MESSAGE: usize = 1 << 20;
/// How much longer than the turn each turn of its chain has to be retained if it may lie on other members. Clocks
/// differ, and a turn that continues the chain may take as long to be stored.
const CHAIN_MARGIN: Duration = record::RETENTION_SLACK.checked_div(2).expect("not zero");
/// How often a chain is sent for one turn: another turn of it may expire at the replica meanwhile.
const CHAIN_ATTEMPTS: usize = 3;

/// The outcome of a turn, as it is sent to replicas.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The outcome.
    pub finish: service::Finish,
    /// The whole chain that the turn continues, from the oldest turn on.
    pub chain: Arc<[record::Turn]>,
}

impl Outcome {
    /// Whether a turn of the chain, by its own retention, may expire before the turn does.
    fn needs_chain(&self) -> bool {
        let Some(turn) = &self.finish.turn else {
            return false;
        };
        let needed_until = record::add(turn.ended, turn.retention + CHAIN_MARGIN);
        let mut chain = self.chain.iter();
        chain.any(|turn| turn.retain_until() < needed_until)
    }

    /// The part of the chain up to the turn `missing`.
    fn chain_until(&self, missing: &record::TurnId) -> Option<&[record::Turn]> {
        let last = self.chain.iter().position(|turn| turn.id == *missing)?;
        self.chain.get(..=last)
    }
}

/// Divides `turns` into messages.
fn messages(turns: &[record::Turn]) -> Vec<Vec<record::Turn>> {
    let mut messages: Vec<Vec<record::Turn>> = Vec::new();
    let mut bytes = 0;
    for turn in turns {
        let size = turn.input.len() + turn.output.len();
        match messages.last_mut() {
            Some(last) if bytes + size <= CHAIN_MESSAGE => last.push(turn.clone()),
            _ => {
                bytes = 0;
                messages.push(vec![turn.clone()]);
            }
        }
        bytes += size;
    }
    messages
}

/// The members that store a turn at first, and the others.
struct Quorum<'a> {
    epoch: member::Epoch,
    members: &'a [SocketAddr],
    others: &'a [SocketAddr],
}

impl Client {
    /// Stores the outcome of a turn. Returns `true` once it is on `f + 1` disks, `false` if that
    /// fails. Replicas that did not store it are retried in the background.
    pub async fn finish(self: &Arc<Self>, req: Outcome) -> bool {
        let (epoch, members) = self.members();
        let needed = member::Quorum::of(members.len(), self.faults).write;
        let locality = *self.locality.lock();
        let has_turn = req.finish.turn.is_some();
        if let Some(locality) = locality.filter(|_| has_turn && members.len() > needed) {
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
        req: Outcome,
        locality: Locality,
    ) -> bool {
        let settlement = service::Finish {
            turn: None,
            ..req.finish.clone()
        };
        if settlement.charge.is_some() || settlement.location.is_some() {
            for &addr in first.others {
                let settlement = Outcome {
                    finish: settlement.clone(),
                    ..Outcome::default()
                };
                let client = Arc::clone(self);
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
        req: Outcome,
        tx: mpsc::UnboundedSender<bool>,
    ) {
        let stored = self.finish_once(addr, Some(epoch), &req).await;
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
        req: &Outcome,
        tx: &mpsc::UnboundedSender<bool>,
    ) {
        metrics::counter!("fw_replica_widened_total").increment(1);
        let record = Outcome {
            finish: service::Finish {
                turn: req.finish.turn.clone(),
                ..service::Finish::default()
            },
            chain: Arc::clone(&req.chain),
        };
        for &addr in others {
            let (client, record, tx) = (Arc::clone(self), record.clone(), tx.clone());
            tokio::spawn(async move {
                // A caller that has enough answers is gone.
                let _ = tx.send(client.finish_at(addr, record).await);
            });
        }
    }

    /// Stores `req` at one replica, with the part of the chain that the replica lacks. Returns whether all
    /// of it is on disk there.
    async fn finish_once(
        &self,
        addr: SocketAddr,
        quorum: Option<member::Epoch>,
        req: &Outcome,
    ) -> bool {
        if !req.needs_chain() {
            return self.call_finish(addr, quorum, req.finish.clone()).await;
        }
        for _ in 0..CHAIN_ATTEMPTS {
            let finish = req.finish.clone();
            let finished = self.call_finish_with_chain(addr, quorum, finish).await;
            let missing = match finished {
                Some(service::Finished::Stored) => return true,
                Some(service::Finished::LacksChain { missing }) => missing,
                Some(service::Finished::Refused) | None => return false,
            };
            if !self.send_chain(addr, quorum, req, &missing).await {
                return false;
            }
        }
        false
    }

    /// Sends the chain of the turn of `req` up to the turn `missing`. Returns whether it is on disk there.
    async fn send_chain(
        &self,
        addr: SocketAddr,
        quorum: Option<member::Epoch>,
        req: &Outcome,
        missing: &record::TurnId,
    ) -> bool {
        let (Some(turn), Some(chain)) = (&req.finish.turn, req.chain_until(missing)) else {
            tracing::warn!(%addr, %missing, "a replica lacks a turn that is not in the chain");
            return false;
        };
        metrics::counter!("fw_replica_chains_sent_total").increment(1);
        tracing::info!(turn = %turn.id, %addr, %missing, turns = chain.len(), "a replica is sent the chain of a turn");
        for turns in messages(chain) {
            let part = service::StoreChain {
                quorum,
                turns,
                until: turn.retain_until(),
            };
            if !self.call_store_chain(addr, part).await {
                return false;
            }
        }
        true
    }

    /// Sends `req` to one replica; retries in the background if that fails.
    async fn finish_at(self: &Arc<Self>, addr: SocketAddr, req: Outcome) -> bool {
        if self.finish_once(addr, None, &req).await {
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
                if client.finish_once(addr, None, &req).await {
                    return;
                }
            }
            metrics::counter!("fw_replica_unsent_total").increment(1);
        });
        false
    }
}
