//! Reserving a turn's tokens by the votes of the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;

use super::{BeginParams, Client, Error, PeerReport};
use crate::{affinity, member, record, service, tally};

/// Longest wait for the chain from the one member asked for it, once the votes are in. It takes up
/// to ten milliseconds; a member that has frozen would hold the turn up for its whole time-out.
pub const CHAIN_LATE: Duration = Duration::from_millis(40);

/// How long answers of members are waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Until the next one.
    Open,
    /// Until the next one, but no longer than this; then all members are asked for the chain.
    AtMost(Duration),
    /// No longer.
    Over,
}

/// How long to wait, when the votes have been in for `voted`, if they are.
pub fn wait(voted: Option<Duration>, chain_due: bool) -> Wait {
    let Some(voted) = voted else {
        return Wait::Open;
    };
    let left = CHAIN_LATE.saturating_sub(voted);
    if chain_due && !left.is_zero() {
        Wait::AtMost(left)
    } else {
        Wait::Over
    }
}

/// What the replicas said.
#[derive(Debug, Default)]
struct Round {
    votes: tally::Tally<SocketAddr>,
    chain: Option<service::Chain>,
    /// Other entries' calls under way, as the nearest replica knows them.
    others: Option<service::PeerState>,
    /// Where turns like this one ran last, as far as any replica knows.
    last: affinity::LastUpstreams,
}

fn spent(reserve: &service::Reserve, used: record::Tokens) -> Error {
    Error::Spent {
        used,
        wanted: reserve.tokens,
        budget: reserve.budget,
    }
}

impl Client {
    /// Reserves tokens and reads the chain that ends with `newest`.
    ///
    /// # Errors
    ///
    /// [`Error::Spent`] and [`Error::UnknownTurn`] are certain; after [`Error::Unsure`] the turn
    /// may be tried again. After each of them the reservation should be taken back.
    ///
    /// `tell` hears of the other entries, and where turns like this one ran last.
    pub async fn begin(
        self: &Arc<Self>,
        mut ask: BeginParams,
        tell: impl Fn(PeerReport<'_>),
    ) -> Result<Vec<record::Turn>, Error> {
        let (mut epoch, mut members) = self.members();
        let mut round = self.ask(epoch, &members, &ask).await;
        if self.may_improve(epoch, &round, &mut ask.reserve) {
            (epoch, members) = self.members();
            round = self.ask(epoch, &members, &ask).await;
        }
        if let Some(others) = &round.others {
            tell(PeerReport {
                calls: &others.calls,
                last_upstreams: round.last,
                usage: others.usage,
            });
            self.links.learn_peers(&others.relays);
        }
        if let Some(reserve) = &ask.reserve {
            self.judge(members.len(), reserve, &round).await?;
        }
        let missing = |newest| service::Chain {
            missing: Some(newest),
            ..service::Chain::default()
        };
        match round.chain.or(ask.newest.map(missing)) {
            Some(chain) => self.complete(epoch, &members, chain).await,
            None => Ok(Vec::new()),
        }
    }

    /// Whether asking again can change the outcome: a newer member list was learned, or the
    /// replicas that refused did not know settlements that others know.
    fn may_improve(
        &self,
        epoch: member::Epoch,
        round: &Round,
        reserve: &mut Option<service::Reserve>,
    ) -> bool {
        if self.epoch() > epoch {
            return true;
        }
        let Some(reserve) = reserve else { return false };
        let Some(known) = round.votes.again(reserve) else {
            return false;
        };
        reserve.known = known;
        true
    }

    /// Whether the turn may run.
    async fn judge(
        &self,
        members: usize,
        reserve: &service::Reserve,
        round: &Round,
    ) -> Result<(), Error> {
        let quorum = member::Quorum::of(members, self.faults);
        match round.votes.verdict(members, quorum) {
            tally::Verdict::Run => Ok(()),
            tally::Verdict::Compare => self.compare(reserve, round).await,
            tally::Verdict::Spent { used } => Err(spent(reserve, used)),
            tally::Verdict::Unsure { answered, needed } => Err(Error::Unsure {
                answered,
                members,
                needed,
            }),
        }
    }

    /// Reads the ledgers of all that accepted, which together decide.
    async fn compare(&self, reserve: &service::Reserve, round: &Round) -> Result<(), Error> {
        metrics::counter!("fw_replica_unions_total").increment(1);
        let asked = round.votes.accepted();
        let asked = asked.map(|addr| self.call_ledger(addr, reserve.program.clone()));
        let ledgers = join_all(asked).await;
        let needed = ledgers.len();
        let known: Vec<_> = ledgers.into_iter().flatten().collect();
        if known.len() < needed {
            return Err(Error::Unsure {
                answered: known.len(),
                members: needed,
                needed,
            });
        }
        tally::compare(reserve, &known.concat()).map_err(|used| spent(reserve, used))
    }

    /// Asks all members at once, the quickest for the chain too, until the outcome is certain.
    async fn ask(
        self: &Arc<Self>,
        epoch: member::Epoch,
        members: &[SocketAddr],
        ask: &BeginParams,
    ) -> Round {
        let quorum = member::Quorum::of(members.len(), self.faults);
        let BeginParams {
            reserve, newest, ..
        } = ask;
        let asked = if reserve.is_some() { members.len() } else { 1 };
        let mut calls = FuturesUnordered::new();
        for (rank, addr) in members.iter().copied().take(asked).enumerate() {
            let req = service::Begin {
                epoch,
                reserve: reserve.clone(),
                chain: newest.clone().filter(|_| rank == 0),
                load: ask.load.clone(),
                wants_peer_state: rank == 0,
                lineage: ask.lineage.clone(),
                usage: ask.usage.clone(),
            };
            let client = Arc::clone(self);
            // On tasks of their own, so that those beyond the quorum are sent as well.
            calls.push(tokio::spawn(async move {
                (rank, addr, client.call_begin(addr, req).await)
            }));
        }
        let mut round = Round::default();
        let mut chain_due = newest.is_some() && !members.is_empty();
        let mut left = calls.len();
        let mut voted = reserve.is_none().then(Instant::now);
        loop {
            let next = match wait(voted.map(|at| at.elapsed()), chain_due) {
                Wait::Over => break,
                Wait::Open => calls.next().await,
                Wait::AtMost(time) => match tokio::time::timeout(time, calls.next()).await {
                    Ok(next) => next,
                    Err(_) => {
                        metrics::counter!("fw_replica_late_chains_total").increment(1);
                        break;
                    }
                },
            };
            let Some(done) = next else { break };
            left -= 1;
            let Ok((rank, addr, begun)) = done else {
                continue;
            };
            if rank == 0 {
                chain_due = false;
            }
            if let Some(begun) = begun {
                self.count(&mut round, rank, addr, begun);
            }
            let accepted = round.votes.accepted().count();
            if accepted >= quorum.vote || accepted + left < quorum.vote {
                voted.get_or_insert_with(Instant::now);
            }
        }
        round
    }

    fn count(&self, round: &mut Round, rank: usize, addr: SocketAddr, begun: service::BeginReply) {
        round.others = round.others.take().or(begun.peer_state);
        round.last = round.last.or(begun.last_upstreams);
        match begun.vote {
            None => {}
            Some(service::Vote::Accepted { digest }) => round.votes.accept(addr, digest),
            Some(service::Vote::Refused { ledger }) => round.votes.refuse(ledger),
            Some(service::Vote::Unsure {
                why: service::Unsure::OldList(view),
            }) => {
                self.update_view(view);
            }
            Some(service::Vote::Unsure { .. }) => {}
        }
        if rank == 0 {
            round.chain = Some(begun.chain);
        }
    }
}
