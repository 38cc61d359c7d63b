//! Reading the chain of turns that a turn continues.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Client, Error};
use crate::{member, record, service};

impl Client {
    /// Requests the missing rest of a chain from `members`, the members of the list of `epoch`.
    pub(super) async fn complete(
        self: &Arc<Self>,
        epoch: member::Epoch,
        members: &[SocketAddr],
        chain: service::Chain,
    ) -> Result<Vec<record::Turn>, Error> {
        let needed = member::Quorum::of(members.len(), self.faults).absent;
        let mut turns = chain.turns;
        let mut missing = chain.missing;
        let mut absent: Vec<SocketAddr> = Vec::new();
        if chain.certain {
            absent.extend(members.first());
        }
        while let Some(id) = missing.take() {
            let Some(found) = self.find_turn(epoch, members, &mut absent, &id).await else {
                if absent.len() >= needed {
                    return Err(Error::UnknownTurn { turn: id });
                }
                return Err(Error::Unsure {
                    answered: absent.len(),
                    members: members.len(),
                    needed,
                });
            };
            turns.extend(found.turns);
            missing = found.missing;
            absent.clear();
        }
        Ok(turns)
    }

    /// The chain from `id` on, from the first member that replies with that turn. Adds members that
    /// report certain absence to `absent`.
    pub(super) async fn find_turn(
        self: &Arc<Self>,
        epoch: member::Epoch,
        members: &[SocketAddr],
        absent: &mut Vec<SocketAddr>,
        id: &record::TurnId,
    ) -> Option<service::Chain> {
        let targets = members
            .iter()
            .copied()
            .filter(|addr| !absent.contains(addr));
        let mut calls: FuturesUnordered<_> = targets
            .map(|addr| async move { (addr, self.call_chain(addr, epoch, id.clone()).await) })
            .collect();
        while let Some((addr, chain)) = calls.next().await {
            let Some(chain) = chain else { continue };
            if !chain.turns.is_empty() {
                return Some(chain);
            }
            if chain.certain {
                absent.push(addr);
            }
        }
        None
    }
}
