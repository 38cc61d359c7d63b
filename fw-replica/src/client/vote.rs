//! Reserving a turn's tokens by the votes of the members.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use fw_plan::prefix;

use super::{BeginParams, Client, Error, PeerReport};
use crate::{affinity, member, record, service, tally};

/// Longest wait for the chain from the one member it was requested from, once the votes are
/// decided. It takes up to 10 ms; a suspended member would delay the turn by its whole time-out.
pub const CHAIN_TIMEOUT: Duration = Duration::from_millis(40);

/// How long to wait for the members' replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Until the next reply.
    Open,
    /// Until the next reply, but no longer than this; then the chain is requested from all members.
    AtMost(Duration),
    /// Not any longer.
    Over,
}

/// How long to wait, when the votes have been decided for `decided_for`, if they are.
pub fn wait(decided_for: Option<Duration>, chain_due: bool) -> Wait {
    let Some(decided_for) = decided_for else {
        return Wait::Open;
    };
    let left = CHAIN_TIMEOUT.saturating_sub(decided_for);
    if chain_due && !left.is_zero() {
        Wait::AtMost(left)
    } else {
        Wait::Over
    }
}

/// Replies of the replicas to one round of requests.
#[derive(Debug, Default)]
struct Round {
    votes: tally::Tally<SocketAddr>,
    chain: Option<service::Chain>,
    /// State of the other entries, as reported by the nearest replica.
    peer_state: Option<service::PeerState>,
    /// Upstreams that last ran turns of this lineage, from any replica's reply.
    last_upstreams: affinity::LastUpstreams,
    /// Engines that hold the beginning of the turn's prompt, as told by the nearest replica.
    holders: Vec<prefix::Holder>,
}

fn budget_error(reserve: &service::Reserve, used: record::Tokens) -> Error {
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
    /// may be retried. After any of them the reservation should be released.
    ///
    /// `on_peer_report` is called with the state of the other entries and the upstreams that last
    /// ran turns of this lineage.
    pub async fn begin(
        self: &Arc<Self>,
        mut params: BeginParams,
        on_peer_report: impl Fn(PeerReport<'_>),
    ) -> Result<Vec<record::Turn>, Error> {
        let (mut epoch, mut members) = self.members();
        let mut round = self.request_votes(epoch, &members, &params).await;
        if self.may_improve(epoch, &round, &mut params.reserve) {
            (epoch, members) = self.members();
            round = self.request_votes(epoch, &members, &params).await;
        }
        if let Some(peer_state) = &round.peer_state {
            on_peer_report(PeerReport {
                calls: &peer_state.calls,
                speeds: &peer_state.speeds,
                last_upstreams: round.last_upstreams,
                usage: peer_state.usage,
                holders: &round.holders,
            });
            self.links.set_relays(&peer_state.relays);
        }
        if let Some(reserve) = &params.reserve {
            self.judge(members.len(), reserve, &round).await?;
        }
        let missing = |newest| service::Chain {
            missing: Some(newest),
            ..service::Chain::default()
        };
        match round.chain.or(params.newest.map(missing)) {
            Some(chain) => self.complete(epoch, &members, chain).await,
            None => Ok(Vec::new()),
        }
    }

    /// Whether a second round can change the outcome: there is a newer member list, or replicas
    /// that refused lacked settlements that others have.
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
        let Some(known) = round.votes.retry_charges(reserve) else {
            return false;
        };
        reserve.known = known;
        true
    }

    /// Applies the verdict on the votes.
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
            tally::Verdict::Spent { used } => Err(budget_error(reserve, used)),
            tally::Verdict::Unsure { answered, needed } => Err(Error::Unsure {
                answered,
                members,
                needed,
            }),
        }
    }

    /// Reads the ledgers of all members that accepted and judges by their union.
    async fn compare(&self, reserve: &service::Reserve, round: &Round) -> Result<(), Error> {
        metrics::counter!("fw_replica_unions_total").increment(1);
        let reads = round.votes.accepted();
        let reads = reads.map(|addr| self.call_ledger(addr, reserve.program.clone()));
        let ledgers = join_all(reads).await;
        let needed = ledgers.len();
        let known: Vec<_> = ledgers.into_iter().flatten().collect();
        if known.len() < needed {
            return Err(Error::Unsure {
                answered: known.len(),
                members: needed,
                needed,
            });
        }
        tally::compare(reserve, &known.concat()).map_err(|used| budget_error(reserve, used))
    }

    /// Whether a reservation to a member that is not the nearest needs no load report: with locality,
    /// the member has had one lately.
    fn omits_load(&self, addr: SocketAddr) -> bool {
        let has_locality = self.locality.lock().is_some();
        has_locality && !self.load_reports.lock().begin(addr, Instant::now())
    }

    /// Sends the request to all members at once, and also requests the chain from the one with the
    /// lowest latency, until the outcome is certain.
    async fn request_votes(
        self: &Arc<Self>,
        epoch: member::Epoch,
        members: &[SocketAddr],
        params: &BeginParams,
    ) -> Round {
        let quorum = member::Quorum::of(members.len(), self.faults);
        let BeginParams {
            reserve, newest, ..
        } = params;
        let targets = if reserve.is_some() { members.len() } else { 1 };
        let mut calls = FuturesUnordered::new();
        for (rank, addr) in members.iter().copied().take(targets).enumerate() {
            let omits_load = rank > 0 && self.omits_load(addr);
            let req = service::Begin {
                epoch,
                reserve: reserve.clone(),
                chain: newest.clone().filter(|_| rank == 0),
                load: match omits_load {
                    true => params.load.without_calls(),
                    false => params.load.clone(),
                },
                omits_load,
                wants_peer_state: rank == 0,
                lineage: params.lineage.clone(),
                usage: params.usage.clone(),
                parts: match rank {
                    0 => params.parts.clone(),
                    _ => Vec::new(),
                },
            };
            let client = Arc::clone(self);
            // Spawned, so that the requests beyond the quorum are sent as well.
            calls.push(tokio::spawn(async move {
                (rank, addr, client.call_begin(addr, req).await)
            }));
        }
        let mut round = Round::default();
        let mut chain_due = newest.is_some() && !members.is_empty();
        let mut pending = calls.len();
        let mut decided_at = reserve.is_none().then(Instant::now);
        loop {
            let next = match wait(decided_at.map(|at| at.elapsed()), chain_due) {
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
            pending -= 1;
            let Ok((rank, addr, reply)) = done else {
                continue;
            };
            if rank == 0 {
                chain_due = false;
            }
            if let Some(reply) = reply {
                self.count_reply(&mut round, rank, addr, reply);
            }
            let accepted = round.votes.accepted().count();
            if accepted >= quorum.vote || accepted + pending < quorum.vote {
                decided_at.get_or_insert_with(Instant::now);
            }
        }
        round
    }

    fn count_reply(
        &self,
        round: &mut Round,
        rank: usize,
        addr: SocketAddr,
        reply: service::BeginReply,
    ) {
        round.peer_state = round.peer_state.take().or(reply.peer_state);
        round.last_upstreams = round.last_upstreams.or(reply.last_upstreams);
        match reply.vote {
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
            round.chain = Some(reply.chain);
            round.holders = reply.holders;
        }
    }
}
