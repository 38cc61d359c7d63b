//! A turn's chain and tokens, with the replicas.

use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use fw_base::{error, id};
use fw_replica::{client, record, server, service};
use tokio::time::Instant;

use super::call;
use crate::process::gate;

/// Pause before replicas that could not say are asked again.
const AGAIN: Duration = Duration::from_millis(60);
/// How long replicas that cannot say are asked: a restart of one of them takes about as long.
const PATIENCE: Duration = Duration::from_millis(600);

/// Tokens reserved for a turn. Dropped without being settled, it is settled with what was handed
/// out so far.
#[derive(Debug)]
pub struct Reservation {
    gate: Arc<gate::Gate>,
    charge: Option<record::Charge>,
}

impl Reservation {
    /// The caller got `tokens` more.
    pub fn hand_out(&mut self, tokens: id::Tokens) {
        if let Some(charge) = &mut self.charge {
            charge.tokens += tokens;
        }
    }

    /// The settlement, for whoever stores it.
    fn settle(&mut self) -> Option<record::Charge> {
        let mut charge = self.charge.take()?;
        charge.made = server::unix_ms();
        Some(charge)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let Some(charge) = self.settle() else { return };
        let replicas = Arc::clone(&self.gate.replicas);
        tokio::spawn(async move {
            let req = service::Finish {
                turn: None,
                charge: Some(charge),
            };
            replicas.finish(req).await;
        });
    }
}

/// A turn that may run.
#[derive(Debug)]
pub struct Ready {
    /// The whole input: the chain, then the turn's own.
    pub body: Bytes,
    /// Its tokens; `None` for a program without a budget.
    pub reservation: Option<Reservation>,
}

/// Reserves the turn's tokens and puts its whole input together.
///
/// # Errors
///
/// `TokensSpent`, `UnknownTurn`, or `ReplicasUnsure` when too few replicas can say.
pub async fn begin(
    gate: &Arc<gate::Gate>,
    call: &call::Call,
    input: &Bytes,
    kept: bool,
    until: Instant,
) -> Result<Ready, error::Error> {
    let previous = call.previous.as_ref().filter(|_| kept);
    let seen = gate.turns.chain(previous);
    let reserve = reserve(call);
    // Made first: if the caller leaves meanwhile, dropping it takes the reservation back.
    let reservation = reserve.as_ref().map(|reserve| Reservation {
        gate: Arc::clone(gate),
        charge: Some(record::Charge {
            program: reserve.program.clone(),
            turn: reserve.turn.clone(),
            tokens: 0,
            settled: true,
            made: 0,
        }),
    });
    let rest = if reserve.is_none() && seen.missing.is_none() {
        Vec::new()
    } else {
        ask(gate, reserve, seen.missing, until).await?
    };
    let rest: Vec<_> = rest.into_iter().map(Arc::new).collect();
    for turn in &rest {
        gate.turns.put(Arc::clone(turn));
    }
    let chain: Vec<_> = seen.turns.into_iter().chain(rest).collect();
    Ok(Ready {
        body: join(&chain, input),
        reservation,
    })
}

async fn ask(
    gate: &Arc<gate::Gate>,
    reserve: Option<service::Reserve>,
    newest: Option<record::TurnId>,
    until: Instant,
) -> Result<Vec<record::Turn>, error::Error> {
    let patience = until.min(Instant::now() + PATIENCE);
    loop {
        let load = service::Load {
            relay: gate.opts.relay,
            ..gate.fleet.load()
        };
        let err = match gate
            .replicas
            .begin(reserve.clone(), newest.clone(), &load, |others| {
                gate.fleet.told_others(others);
            })
            .await
        {
            Ok(chain) => return Ok(chain),
            Err(err) => err,
        };
        let kind = match &err {
            client::Error::Spent { .. } => error::Kind::TokensSpent,
            client::Error::UnknownTurn { .. } => error::Kind::UnknownTurn,
            client::Error::Unsure { .. } => error::Kind::ReplicasUnsure,
        };
        if kind != error::Kind::ReplicasUnsure || Instant::now() + AGAIN >= patience {
            return Err(error::Error::new(kind, err.to_string()));
        }
        tokio::time::sleep(AGAIN).await;
    }
}

fn reserve(call: &call::Call) -> Option<service::Reserve> {
    Some(service::Reserve {
        program: call.program.clone()?,
        turn: call.id.clone(),
        tokens: call.most_tokens,
        budget: call.budget?,
        known: Vec::new(),
    })
}

/// The inputs and outputs of `chain`, which is newest first, from the oldest on, then `input`.
fn join(chain: &[Arc<record::Turn>], input: &Bytes) -> Bytes {
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

/// Stores a turn that has ended, if later ones may continue it, and settles its tokens. Returns
/// whether the turn is stored for good; a settlement alone is not waited for.
pub async fn finish(
    gate: &Arc<gate::Gate>,
    turn: Option<record::Turn>,
    mut reservation: Option<Reservation>,
) -> bool {
    let Some(turn) = turn else { return true };
    let charge = reservation.as_mut().and_then(Reservation::settle);
    let req = service::Finish {
        turn: Some(turn.clone()),
        charge,
    };
    let stored = gate.replicas.finish(req).await;
    if stored {
        gate.turns.put(Arc::new(turn));
    }
    stored
}
