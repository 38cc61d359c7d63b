//! Requests to a single replica, and requests broadcast to all.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use fw_plan::quota;

use super::Client;
use crate::{ledger, member, record, service};

impl Client {
    pub(super) async fn call_begin(
        &self,
        addr: SocketAddr,
        req: service::Begin,
    ) -> Option<service::BeginReply> {
        self.links
            .call(
                addr,
                |client, cx| async move { client.begin(cx, req).await },
            )
            .await
    }

    /// Stores an outcome at one replica; on `f + 1` members only if `quorum` is the epoch of their list.
    pub(super) async fn call_finish(
        &self,
        addr: SocketAddr,
        quorum: Option<member::Epoch>,
        req: service::Finish,
    ) -> bool {
        let stored = self.links.call(addr, |client, cx| async move {
            match quorum {
                Some(epoch) => client.finish_quorum(cx, epoch, req).await,
                None => client.finish(cx, req).await,
            }
        });
        stored.await.unwrap_or(false)
    }

    /// Stores an outcome at one replica, if it has the chain.
    pub(super) async fn call_finish_with_chain(
        &self,
        addr: SocketAddr,
        quorum: Option<member::Epoch>,
        req: service::Finish,
    ) -> Option<service::Finished> {
        self.links
            .call(addr, |client, cx| async move {
                client.finish_with_chain(cx, quorum, req).await
            })
            .await
    }

    pub(super) async fn call_store_chain(
        &self,
        addr: SocketAddr,
        req: service::StoreChain,
    ) -> bool {
        let stored = self.links.call(addr, |client, cx| async move {
            client.store_chain(cx, req).await
        });
        stored.await.unwrap_or(false)
    }

    pub(super) async fn call_ledger(
        &self,
        addr: SocketAddr,
        program: record::ProgramId,
    ) -> Option<Vec<ledger::Line>> {
        self.links
            .call(addr, |client, cx| async move {
                client.ledger(cx, program).await
            })
            .await
    }

    pub(super) async fn call_chain(
        &self,
        addr: SocketAddr,
        epoch: member::Epoch,
        id: record::TurnId,
    ) -> Option<service::Chain> {
        self.links
            .call(addr, |client, cx| async move {
                client.chain(cx, epoch, id).await
            })
            .await
    }

    /// Reads a page of a replica's list.
    pub async fn list(
        &self,
        addr: SocketAddr,
        reader: record::ReplicaId,
        after: service::Position,
    ) -> Option<service::Page> {
        self.links
            .call(addr, |client, cx| async move {
                client.list(cx, reader, after).await
            })
            .await
    }

    /// Reads a page of a replica's list, without stating that all records before `after` are stored.
    pub async fn browse(
        &self,
        addr: SocketAddr,
        after: service::Position,
        scope: service::Scope,
    ) -> Option<service::Page> {
        self.links
            .call(addr, |client, cx| async move {
                client.browse(cx, after, scope).await
            })
            .await
    }

    /// Announces a member list to one replica; returns whether it refuses older ones from now on.
    pub async fn announce_members_to(&self, addr: SocketAddr, view: member::View) -> bool {
        let accepted = self.links.call(addr, |client, cx| async move {
            client.announce_members(cx, view, Vec::new()).await
        });
        accepted.await.unwrap_or(false)
    }

    /// Publishes a read of the platform's store to all replicas. The read was requested after
    /// `clocks` were read. `full_snapshot` supplies all parts for a replica that lacks some.
    pub fn publish(
        self: &Arc<Self>,
        publication: &service::Publish,
        clocks: &super::ClockReadings,
        full_snapshot: impl Fn() -> service::Snapshot + Send + Sync + 'static,
    ) {
        let full_snapshot = Arc::new(full_snapshot);
        let (_, members) = self.members();
        for addr in members {
            let (client, full_snapshot) = (Arc::clone(self), Arc::clone(&full_snapshot));
            let publication = service::Publish {
                requested_at: clocks.get(&addr).copied(),
                ..publication.clone()
            };
            tokio::spawn(async move {
                if client.call_publish(addr, publication.clone()).await == Some(false) {
                    let retry = service::Publish {
                        changed: full_snapshot(),
                        ..publication
                    };
                    // If this fails too, the replica gets the next publication.
                    client.call_publish(addr, retry).await;
                }
            });
        }
    }

    /// Publishes to one replica; returns whether it then has all parts.
    async fn call_publish(&self, addr: SocketAddr, publication: service::Publish) -> Option<bool> {
        let published = self.links.call(addr, |client, cx| async move {
            client.publish(cx, publication).await
        });
        let published = published.await?;
        self.clock_readings.lock().insert(addr, published.now);
        Some(published.is_complete)
    }

    /// Reads the clock of each replica that replies within `wait`.
    pub async fn read_clocks(&self, wait: Duration) {
        let (_, members) = self.members();
        let reads = members.into_iter().map(|addr| async move {
            let reading = self.links.call(
                addr,
                |client, cx| async move { client.read_clock(cx).await },
            );
            if let Some(reading) = reading.await {
                self.clock_readings.lock().insert(addr, reading);
            }
        });
        // The previous readings of late replicas remain valid.
        let _ = tokio::time::timeout(wait, join_all(reads)).await;
    }

    /// Reports requests admitted by `entry` to replicas; `on_summary` is called with each replica's
    /// totals over all entries.
    pub async fn report_usage(
        self: &Arc<Self>,
        entry: u32,
        usage: &[service::TeamUsage],
        reach: super::Reach,
        on_summary: impl Fn(&service::TeamUsage, &quota::Summary),
    ) {
        if usage.is_empty() {
            return;
        }
        let (_, members) = self.members();
        let targets = match reach {
            super::Reach::All => members.len(),
            super::Reach::Nearest => 1,
        };
        let mut answers: FuturesUnordered<_> = members
            .into_iter()
            .take(targets)
            .map(|addr| self.call_report_usage(addr, entry, usage.to_vec()))
            .collect();
        while let Some(answer) = answers.next().await {
            for (usage, summary) in usage.iter().zip(answer.unwrap_or_default()) {
                on_summary(usage, &summary);
            }
        }
    }

    async fn call_report_usage(
        &self,
        addr: SocketAddr,
        entry: u32,
        usage: Vec<service::TeamUsage>,
    ) -> Option<Vec<quota::Summary>> {
        self.links
            .call(addr, |client, cx| async move {
                client.report_usage(cx, entry, usage).await
            })
            .await
    }

    /// Long poll at the nearest replica: waits up to `wait` until an entry publishes a read of the
    /// platform's store.
    pub async fn await_update(
        &self,
        known: service::KnownVersion,
        wait: Duration,
    ) -> Option<service::Update> {
        let (_, members) = self.members();
        let addr = *members.first()?;
        self.poll_update(addr, known, wait).await
    }

    /// Requests the parts that version `known` lacks from all replicas at once, as one that is down
    /// would delay the others' replies. Returns the first reply that has any part.
    pub async fn fetch_update(&self, known: service::KnownVersion) -> Option<service::Update> {
        let (_, mut targets) = self.members();
        targets.extend(self.seeds.iter().copied());
        let mut answers: FuturesUnordered<_> = targets
            .into_iter()
            .map(|addr| self.poll_update(addr, known, Duration::ZERO))
            .collect();
        let mut any = None;
        while let Some(update) = answers.next().await {
            let Some(update) = update else { continue };
            if update.newer != service::Snapshot::default() {
                return Some(update);
            }
            any.get_or_insert(update);
        }
        any
    }

    /// Polls one replica, and takes over its member list if that is newer.
    pub async fn poll_update(
        &self,
        addr: SocketAddr,
        known: service::KnownVersion,
        wait: Duration,
    ) -> Option<service::Update> {
        let answer = self.links.long_poll(addr, |client, cx| async move {
            client.poll_update(cx, known, wait).await
        });
        let update = answer.await?;
        self.update_view(update.view.clone());
        Some(update)
    }

    /// Whether `addr` belongs to a replica, so that connections may be relayed to it.
    pub fn is_member(&self, addr: SocketAddr) -> bool {
        self.view.lock().list.addrs().any(|known| known == addr)
    }

    /// Pings a replica; `standby` is the sender's name if it is a standby.
    pub async fn ping(
        &self,
        addr: SocketAddr,
        standby: Option<record::ReplicaId>,
    ) -> Option<service::PingReply> {
        self.links
            .call(
                addr,
                |client, cx| async move { client.ping(cx, standby).await },
            )
            .await
    }

    /// Reads turns from a replica.
    pub async fn fetch(
        &self,
        addr: SocketAddr,
        ids: Vec<record::TurnId>,
    ) -> Option<Vec<record::Turn>> {
        self.links
            .call(
                addr,
                |client, cx| async move { client.fetch(cx, ids).await },
            )
            .await
    }
}
