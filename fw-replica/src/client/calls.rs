//! Single calls to one replica, or the same one to all.

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

    pub(super) async fn call_finish(&self, addr: SocketAddr, req: service::Finish) -> bool {
        let stored = self.links.call(
            addr,
            |client, cx| async move { client.finish(cx, req).await },
        );
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

    /// Tells one replica a member list; whether it refuses older ones from now on.
    pub async fn announce_members_to(&self, addr: SocketAddr, view: member::View) -> bool {
        let told = self.links.call(addr, |client, cx| async move {
            client.announce_members(cx, view, Vec::new()).await
        });
        told.await.unwrap_or(false)
    }

    /// Tells all replicas what was read from the platform's store, which was asked after `moments`.
    /// `whole` makes all parts, for one that lacks any of them.
    pub fn publish(
        self: &Arc<Self>,
        post: &service::Publish,
        moments: &super::ClockReadings,
        whole: impl Fn() -> service::Snapshot + Send + Sync + 'static,
    ) {
        let whole = Arc::new(whole);
        let (_, members) = self.members();
        for addr in members {
            let (client, whole) = (Arc::clone(self), Arc::clone(&whole));
            let post = service::Publish {
                requested_at: moments.get(&addr).copied(),
                ..post.clone()
            };
            tokio::spawn(async move {
                if client.call_publish(addr, post.clone()).await == Some(false) {
                    let again = service::Publish {
                        changed: whole(),
                        ..post
                    };
                    // One that does not get it gets the next.
                    client.call_publish(addr, again).await;
                }
            });
        }
    }

    /// Tells one replica; whether it has all parts then.
    async fn call_publish(&self, addr: SocketAddr, post: service::Publish) -> Option<bool> {
        let posted = self.links.call(
            addr,
            |client, cx| async move { client.publish(cx, post).await },
        );
        let posted = posted.await?;
        self.clock_readings.lock().insert(addr, posted.now);
        Some(posted.is_complete)
    }

    /// Learns the present moment of each replica that tells it within `wait`.
    pub async fn read_clocks(&self, wait: Duration) {
        let (_, members) = self.members();
        let asked = members.into_iter().map(|addr| async move {
            let moment = self.links.call(
                addr,
                |client, cx| async move { client.read_clock(cx).await },
            );
            if let Some(moment) = moment.await {
                self.clock_readings.lock().insert(addr, moment);
            }
        });
        // Of those that are late, what they told before counts.
        let _ = tokio::time::timeout(wait, join_all(asked)).await;
    }

    /// Tells replicas what `entry` has let through of some teams; `heard` is told what each knows of all
    /// entries.
    pub async fn report_usage(
        self: &Arc<Self>,
        entry: u32,
        spent: &[service::TeamUsage],
        reach: super::Reach,
        heard: impl Fn(&service::TeamUsage, &quota::Summary),
    ) {
        if spent.is_empty() {
            return;
        }
        let (_, members) = self.members();
        let asked = match reach {
            super::Reach::All => members.len(),
            super::Reach::Nearest => 1,
        };
        let mut answers: FuturesUnordered<_> = members
            .into_iter()
            .take(asked)
            .map(|addr| self.call_report_usage(addr, entry, spent.to_vec()))
            .collect();
        while let Some(answer) = answers.next().await {
            for (spent, known) in spent.iter().zip(answer.unwrap_or_default()) {
                heard(spent, &known);
            }
        }
    }

    async fn call_report_usage(
        &self,
        addr: SocketAddr,
        entry: u32,
        spent: Vec<service::TeamUsage>,
    ) -> Option<Vec<quota::Summary>> {
        self.links
            .call(addr, |client, cx| async move {
                client.report_usage(cx, entry, spent).await
            })
            .await
    }

    /// Waits at the nearest replica until an entry has read the platform's store, up to `wait`.
    pub async fn await_update(
        &self,
        known: service::KnownVersion,
        wait: Duration,
    ) -> Option<service::Update> {
        let (_, members) = self.members();
        let addr = *members.first()?;
        self.poll_update(addr, known, wait).await
    }

    /// Asks all replicas at once for what the owner of `known` lacks: one that is down would hold the
    /// others' answers up. The first that has any tells.
    pub async fn fetch_update(&self, known: service::KnownVersion) -> Option<service::Update> {
        let (_, mut asked) = self.members();
        asked.extend(self.seeds.iter().copied());
        let mut answers: FuturesUnordered<_> = asked
            .into_iter()
            .map(|addr| self.poll_update(addr, known, Duration::ZERO))
            .collect();
        let mut any = None;
        while let Some(news) = answers.next().await {
            let Some(news) = news else { continue };
            if news.newer != service::Snapshot::default() {
                return Some(news);
            }
            any.get_or_insert(news);
        }
        any
    }

    /// The same of one replica, whose member list is learned.
    pub async fn poll_update(
        &self,
        addr: SocketAddr,
        known: service::KnownVersion,
        wait: Duration,
    ) -> Option<service::Update> {
        let answer = self.links.call_that_waits(addr, |client, cx| async move {
            client.poll_update(cx, known, wait).await
        });
        let news = answer.await?;
        self.update_view(news.view.clone());
        Some(news)
    }

    /// Whether `addr` is a replica's, so that connections may be passed on to it.
    pub fn is_member(&self, addr: SocketAddr) -> bool {
        self.view.lock().list.addrs().any(|known| known == addr)
    }

    /// Asks how a replica is; `standby` names the asker if it stands by.
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
