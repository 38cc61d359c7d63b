//! A turn's chain and token budget, which the replicas store.

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fw_base::{error, id};
use fw_plan::prefix;
use fw_replica::{affinity, client, record, server, service};
use tokio::time::Instant;

use super::call;
use crate::process::{fleet, gate};

/// Pause before a request to replicas that were unsure is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(60);
/// How long a request to unsure replicas is repeated: a restart of one of them takes about as long.
const UNSURE_TIMEOUT: Duration = Duration::from_millis(600);

/// A turn in progress: the tokens reserved for it, and the upstream that runs it. If dropped before it is
/// stored, it is settled with the tokens that were forwarded so far.
#[derive(Debug)]
pub struct Turn {
    gate: Arc<gate::Gate>,
    /// `None` for a program without a budget.
    charge: Option<record::Charge>,
    lineage: affinity::Lineage,
    location: Option<affinity::Location>,
    /// Parts of its prompt; empty while calls are not placed by them.
    parts: Vec<prefix::Part>,
    /// Tokens that were generated for it.
    generated: id::Tokens,
    /// The chain that it continues, from the oldest turn on. Its bytes are those of the whole input.
    chain: Arc<[record::Turn]>,
}

impl Turn {
    /// Records that the turn runs at the upstream of `lease`.
    pub fn set_upstream(&mut self, lease: &fleet::Lease) {
        self.location = Some(affinity::Location {
            lineage: self.lineage.clone(),
            upstream: lease.engine.id,
            prefix: self.prefix_report(lease.engine, lease.capacity),
        });
    }

    /// Records that the turn broke at its upstream. Its caller will send it again, through any entry, and
    /// it should not be sent to the same upstream just because of the cached prompt.
    pub fn mark_broken(&mut self) {
        self.gate
            .fleet
            .set_last_upstreams(&self.lineage, affinity::LastUpstreams::no_upstream());
        let prefix = self.location.take().and_then(|location| location.prefix);
        let engine = prefix.map_or_else(Default::default, |report| report.engine);
        self.gate.fleet.forget_prefix(engine, &self.parts);
        self.location = Some(affinity::Location {
            lineage: self.lineage.clone(),
            upstream: affinity::NO_UPSTREAM,
            prefix: self.prefix_report(engine, 0),
        });
    }

    /// The report of the parts of its prompt; `None` while calls are not placed by them.
    fn prefix_report(
        &self,
        engine: prefix::Engine,
        capacity: prefix::Tokens,
    ) -> Option<fw_replica::prefix::Report> {
        (!self.parts.is_empty()).then(|| fw_replica::prefix::Report {
            engine,
            capacity,
            parts: self.parts.clone(),
        })
    }

    /// Counts `tokens` that were forwarded to the caller.
    pub fn add_tokens(&mut self, tokens: id::Tokens) {
        self.generated += tokens;
        if let Some(charge) = &mut self.charge {
            charge.tokens += tokens;
        }
    }

    /// The result for the replicas, with `record` if later turns may continue it; `None` if there is nothing
    /// to report.
    fn settle(&mut self, record: Option<record::Turn>) -> Option<client::Outcome> {
        let charge = self.charge.take().map(|charge| record::Charge {
            made: server::unix_ms(),
            ..charge
        });
        let is_needed = charge.is_some() || record.is_some();
        is_needed.then(|| client::Outcome {
            finish: service::Finish {
                turn: record,
                charge,
                location: self.location.take(),
            },
            chain: std::mem::take(&mut self.chain),
        })
    }

    /// Counts the generated tokens with the last part of the prompt: the engine keeps them as well.
    fn add_generated(&mut self) {
        let prefix = self.location.as_mut().and_then(|l| l.prefix.as_mut());
        if let Some(last) = prefix.and_then(|prefix| prefix.parts.last_mut()) {
            let generated = prefix::Tokens::try_from(self.generated).unwrap_or(0);
            last.tokens = last.tokens.saturating_add(generated);
        }
    }

    /// Stores the turn, if later ones may continue it, and settles its tokens. Returns whether the turn is
    /// stored durably; a settlement without a turn is sent without waiting for it.
    pub async fn finish(mut self, record: Option<record::Turn>) -> bool {
        self.add_generated();
        let Some(record) = record else { return true };
        let Some(req) = self.settle(Some(record.clone())) else {
            return true;
        };
        let stored = self.gate.replicas.finish(req).await;
        if stored {
            self.gate.turns.put(Arc::new(record));
        }
        stored
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let Some(req) = self.settle(None) else { return };
        let replicas = Arc::clone(&self.gate.replicas);
        tokio::spawn(async move { replicas.finish(req).await });
    }
}

/// A turn that is ready to run.
#[derive(Debug)]
pub struct Ready {
    /// The whole input: that of the chain, then the turn's own.
    pub body: Bytes,
    /// The turn, with its reserved tokens.
    pub turn: Turn,
}

/// Reserves the turn's tokens and assembles its whole input.
///
/// # Errors
///
/// `TokensSpent`, `UnknownTurn`, or `ReplicasUnsure` when too few replicas can decide.
pub async fn begin(
    gate: &Arc<gate::Gate>,
    call: &call::Call,
    input: &Bytes,
    kept: bool,
    until: Instant,
) -> Result<Ready, error::Error> {
    let previous = call.previous.as_ref().filter(|_| kept);
    let cached = gate.turns.chain(previous);
    let reserve = reserve(call);
    let charge = reserve.as_ref().map(|reserve| record::Charge {
        program: reserve.program.clone(),
        id: reserve.charge.clone(),
        tokens: 0,
        settled: true,
        made: 0,
    });
    // Created before the request: if the caller disconnects meanwhile, dropping it cancels the reservation.
    let mut turn = Turn {
        gate: Arc::clone(gate),
        charge,
        lineage: call.lineage(),
        location: None,
        parts: gate.fleet.placement_parts(&call.parts).to_vec(),
        generated: 0,
        chain: Arc::default(),
    };
    let rest = if reserve.is_none() && cached.missing.is_none() {
        Vec::new()
    } else {
        request_chain(gate, call, reserve, cached.missing, until).await?
    };
    let rest: Vec<_> = rest.into_iter().map(Arc::new).collect();
    for record in &rest {
        gate.turns.put(Arc::clone(record));
    }
    let chain: Vec<_> = cached.turns.into_iter().chain(rest).collect();
    let body = concatenate(&chain, input);
    turn.chain = split(&body, &chain);
    Ok(Ready { body, turn })
}

async fn request_chain(
    gate: &Arc<gate::Gate>,
    call: &call::Call,
    reserve: Option<service::Reserve>,
    newest: Option<record::TurnId>,
    until: Instant,
) -> Result<Vec<record::Turn>, error::Error> {
    let lineage = call.lineage();
    let parts = gate.fleet.placement_parts(&call.parts);
    let deadline = until.min(Instant::now() + UNSURE_TIMEOUT);
    loop {
        let load = service::Load {
            relay: gate.opts.relay,
            ..gate.fleet.load()
        };
        let params = client::BeginParams {
            reserve: reserve.clone(),
            newest: newest.clone(),
            load,
            lineage: lineage.clone(),
            usage: call
                .team
                .as_ref()
                .and_then(|team| gate.quotas.team_usage(team)),
            parts: parts.to_vec(),
        };
        let on_report = |report: client::PeerReport<'_>| {
            gate.fleet.set_other_calls(report.calls);
            gate.fleet.record_peer_speeds(report.calls, report.speeds);
            gate.fleet
                .set_last_upstreams(&lineage, report.last_upstreams);
            gate.fleet.merge_holders(parts, report.holders);
            if let (Some(team), Some(usage)) = (&call.team, &report.usage) {
                gate.quotas.merge(team, usage);
            }
        };
        let err = match gate.replicas.begin(params, on_report).await {
            Ok(chain) => return Ok(chain),
            Err(err) => err,
        };
        let kind = match &err {
            client::Error::Spent { .. } => error::Kind::TokensSpent,
            client::Error::UnknownTurn { .. } => error::Kind::UnknownTurn,
            client::Error::Unsure { .. } => error::Kind::ReplicasUnsure,
        };
        if kind != error::Kind::ReplicasUnsure || Instant::now() + RETRY_PAUSE >= deadline {
            return Err(error::Error::new(kind, err.to_string()));
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn reserve(call: &call::Call) -> Option<service::Reserve> {
    Some(service::Reserve {
        program: call.program.clone()?,
        charge: smol_str::format_smolstr!("{:016x}", rand::random::<u64>()),
        tokens: call.max_tokens,
        budget: call.budget?,
        known: Vec::new(),
    })
}

/// Concatenates the inputs and outputs of `chain`, which is sorted newest first, from the oldest turn on, and
/// then `input`.
fn concatenate(chain: &[Arc<record::Turn>], input: &Bytes) -> Bytes {
    if chain.is_empty() {
        return input.clone();
    }
    let turns = chain.iter().rev();
    let size: usize = turns.clone().map(|t| t.input.len() + t.output.len()).sum();
    let mut body = BytesMut::with_capacity(size + input.len());
    for turn in turns {
        body.put_slice(&turn.input);
        body.put_slice(&turn.output);
    }
    body.put_slice(input);
    body.freeze()
}

/// The turns of `chain`, which is sorted newest first, from the oldest on, with the bytes that they have in
/// `body`, their concatenation: it is held for the whole call, and the cached turns need not be.
fn split(body: &Bytes, chain: &[Arc<record::Turn>]) -> Arc<[record::Turn]> {
    let mut at = 0;
    let mut take = |len| {
        let part = body.slice(at..at + len);
        at += len;
        part
    };
    let turns = chain.iter().rev().map(|turn| record::Turn {
        input: take(turn.input.len()),
        output: take(turn.output.len()),
        id: turn.id.clone(),
        parent: turn.parent.clone(),
        ..**turn
    });
    turns.collect()
}
