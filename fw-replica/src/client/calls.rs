//! Single calls to one replica, or the same one to all.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::Client;
use crate::{ledger, member, record, service};

impl Client {
    pub(super) async fn call_begin(
        &self,
        addr: SocketAddr,
        req: service::Begin,
    ) -> Option<service::Begun> {
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
    pub async fn announce(&self, addr: SocketAddr, view: member::View) -> bool {
        let told = self.links.call(addr, |client, cx| async move {
            client.tell(cx, view, Vec::new()).await
        });
        told.await.unwrap_or(false)
    }

    /// Gives all replicas a bulletin to keep.
    pub fn post(self: &Arc<Self>, bulletin: &service::Bulletin) {
        let (_, members) = self.members();
        for addr in members {
            let (client, bulletin) = (Arc::clone(self), bulletin.clone());
            tokio::spawn(async move {
                // One that does not get it gets the next.
                let _ = client
                    .links
                    .call(
                        addr,
                        |client, cx| async move { client.post(cx, bulletin).await },
                    )
                    .await;
            });
        }
    }

    /// Asks replicas for a bulletin newer than revision `after`, and learns their member list.
    pub async fn news(&self, after: u64) -> Option<service::Bulletin> {
        let (_, mut asked) = self.members();
        asked.extend(self.seeds.iter().copied());
        // At once: one that is down would hold the others' answers up.
        let mut answers: FuturesUnordered<_> = asked
            .into_iter()
            .map(|addr| self.news_of(addr, after))
            .collect();
        while let Some(bulletin) = answers.next().await {
            if bulletin.is_some() {
                return bulletin;
            }
        }
        None
    }

    /// The same of one replica.
    pub async fn news_of(&self, addr: SocketAddr, after: u64) -> Option<service::Bulletin> {
        let answer = self.links.call(
            addr,
            |client, cx| async move { client.news(cx, after).await },
        );
        let (bulletin, view) = answer.await?;
        self.learn(view);
        bulletin
    }

    /// Whether `addr` is a replica's, so that connections may be passed on to it.
    pub fn is_member(&self, addr: SocketAddr) -> bool {
        self.view.lock().list.addrs().any(|known| known == addr)
    }

    /// Asks how a replica is.
    pub async fn ping(&self, addr: SocketAddr) -> Option<service::Pong> {
        self.links
            .call(addr, |client, cx| async move { client.ping(cx).await })
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
