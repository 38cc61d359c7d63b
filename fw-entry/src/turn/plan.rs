//! What the records in force mean for one turn.

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

/// How much a second of prefill weighs against a second of waiting where the records weigh wasted
/// cache more than latency. Measured in `docs/POLICY.md`.
const CACHE_WEIGHT: f64 = 2.0;

/// How a turn is to be run, under one version of the records.
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
    /// Most tokens to generate.
    pub max_tokens: id::Tokens,
    /// The team's share.
    pub share: f64,
    /// Whether a turn whose callers went away is cancelled.
    pub cancel_when_gone: bool,
    /// How costs are weighed in placement.
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
        let service = service.ok_or_else(|| unknown(&req.model, &records))?;
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
            max_tokens: tokens(req, service),
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

/// What the caller asked for, within the service's bounds.
fn tokens(req: &peer::Submit, service: &service::Service) -> id::Tokens {
    let asked = req.max_tokens.unwrap_or(service.tokens.default);
    asked.min(service.tokens.max)
}

fn unknown(model: &id::ModelId, records: &set::Set) -> error::Error {
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
