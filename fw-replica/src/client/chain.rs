//! Reading the chain of turns that a turn continues.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Client, Error};
use crate::{member, record, service};

/// Longest wait for a member's chain before another one is asked as well: a reply usually takes 2 ms,
/// up to 10 ms from another data centre.
const NEXT_MEMBER_AFTER: Duration = Duration::from_millis(10);

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
        let mut targets = members
            .iter()
            .copied()
            .filter(|addr| !absent.contains(addr))
            .collect::<Vec<_>>()
            .into_iter();
        let call = |addr| async move { (addr, self.call_chain(addr, epoch, id.clone()).await) };
        // Each reply has the whole chain, so with locality one member is asked after the other.
        let at_once = match *self.locality.lock() {
            Some(_) => 1,
            None => members.len(),
        };
        let mut calls: FuturesUnordered<_> = targets.by_ref().take(at_once).map(call).collect();
        while !calls.is_empty() {
            let next = tokio::time::timeout(NEXT_MEMBER_AFTER, calls.next()).await;
            if let Ok(Some((addr, Some(chain)))) = next {
                if !chain.turns.is_empty() {
                    return Some(chain);
                }
                if chain.certain {
                    absent.push(addr);
                }
            }
            calls.extend(targets.next().map(call));
        }
        None
    }
}
