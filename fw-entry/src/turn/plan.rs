//! Parameters of one turn, derived from the records in force.

use std::sync::Arc;

use fw_base::error;
use fw_base::id;
use fw_keep::ledger;
use fw_plan::place;
use fw_record::service;
use fw_record::set;
use fw_wire::peer;

use crate::process::entry;
use crate::version::records;

/// Weight of a second of prefill relative to a second of waiting, if the records rate wasted cache
/// higher than latency. See `docs/POLICY.md` for the measurement.
const CACHE_WEIGHT: f64 = 2.0;

/// Parameters of a turn under one version of the records.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program's shard.
    pub shard: id::ShardId,
    /// The fencing number under which this entry keeps it.
    pub fence: id::Fence,
    /// The service that runs the model.
    pub service: id::ServiceId,
    /// Limits of the program's budget.
    pub limits: ledger::Limits,
    /// Limit of generated tokens.
    pub max_tokens: id::Tokens,
    /// The team's share.
    pub share: f64,
    /// Whether a turn is cancelled when all its callers have disconnected.
    pub cancel_when_gone: bool,
    /// Weights of costs in placement.
    pub place: place::Options,
}

impl Plan {
    /// The plan for `req` under the records in force.
    ///
    /// # Errors
    ///
    /// `UnknownModel` when no service runs the model.
    pub fn new(
        entry: &Arc<entry::Entry>,
        req: &peer::Submit,
        shard: id::ShardId,
        fence: id::Fence,
    ) -> Result<Self, error::Error> {
        let records = entry.records.current();
        let service = records.service_for_model(&req.model);
        let service = service.ok_or_else(|| unknown_model(&req.model, &records))?;
        let budget = records.budget_for(&service.name, &req.team);
        Ok(Self {
            shard,
            fence,
            service: service.pool.clone(),
            limits: ledger::Limits {
                turns: budget.and_then(|budget| budget.turns),
                tokens: budget.and_then(|budget| budget.tokens),
                time: budget.and_then(|budget| budget.time),
            },
            max_tokens: token_limit(req, service),
            share: records::share_of(&records, &req.team),
            cancel_when_gone: service.on_gone == service::OnDisconnect::Cancel,
            place: place::Options {
                cache_weight: match service.keep {
                    service::MemoryPriority::Latency => 1.0,
                    service::MemoryPriority::Cache => CACHE_WEIGHT,
                },
                ..place::Options::default()
            },
        })
    }
}

/// The limit that the caller requested, within the service's bounds.
fn token_limit(req: &peer::Submit, service: &service::Service) -> id::Tokens {
    let requested = req.max_tokens.unwrap_or(service.tokens.default);
    requested.min(service.tokens.max)
}

fn unknown_model(model: &id::ModelId, records: &set::Set) -> error::Error {
    let mut models: Vec<_> = records.models().map(id::ModelId::as_str).collect();
    models.sort_unstable();
    let message = match models.is_empty() {
        true => format!("no service runs model {model}: there is no service record yet"),
        false => format!(
            "no service runs model {model}; those offered: {}",
            models.join(", ")
        ),
    };
    error::Error::new(error::Kind::UnknownModel, message)
}
