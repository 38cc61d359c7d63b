//! What the log line of a refused request says about it.

use std::time::Duration;

use fw_base::{error, id};
use fw_plan::{begin, share};
use smol_str::SmolStr;

use super::ingress::log_ms;
use crate::process::fleet;
use crate::version::config;

/// Facts about a request, as far as they were known when it was refused.
#[derive(Clone, Debug, Default)]
pub struct Details {
    /// Its team.
    pub team: Option<id::TeamId>,
    /// The version of the configuration by which it was routed.
    pub config_version: Option<config::Version>,
    /// Time since the request of the last read by which that configuration was known to be complete.
    pub config_age: Option<Duration>,
    /// Its route.
    pub route: Option<SmolStr>,
    /// Its place in its program: `begins`, `continues`, or `plain` for a request without a program.
    pub stage: Option<&'static str>,
    /// Its priority.
    pub priority: Option<u32>,
    /// Use and share of its team, if they were compared.
    pub standing: Option<share::Standing>,
    /// The figures of a refusal to begin a program.
    pub figures: Option<begin::Refusal>,
}

impl Details {
    /// Takes the figures of a refusal to begin a program; returns the error.
    pub fn take(&mut self, refused: fleet::Refused) -> error::Error {
        self.figures = refused.figures;
        refused.err
    }

    /// Writes the log line. `headers` are the ids of the request and its program, and the times that its
    /// headers state.
    pub fn log(&self, headers: [Option<&str>; 4], err: &error::Error, took: Duration) {
        let [request, program, deadline_ms, program_left_ms] = headers;
        let figures = self.figures.as_ref();
        // Two decimals are enough to compare with a limit.
        let rounded = |figure: f64| (figure * 100.0).round() / 100.0;
        tracing::info!(
            request,
            program,
            deadline_ms,
            program_left_ms,
            team = self.team.as_deref(),
            config_version = self.config_version,
            config_age_ms = self.config_age.map(|age| age.as_millis() as u64),
            route = self.route.as_deref(),
            stage = self.stage,
            priority = self.priority,
            kind = err.kind.row().label,
            why = err.message,
            ran = ?err.ran(),
            retry_after_ms = log_ms(err.retry_after),
            reason = figures.map(|figures| figures.reason.label()),
            used = self.standing.map(|standing| rounded(standing.used)),
            share = self.standing.map(|standing| rounded(standing.share)),
            load = figures.map(|figures| rounded(figures.load)),
            limit = figures.map(|figures| rounded(figures.limit)),
            stretch = figures.map(|figures| rounded(figures.stretch)),
            ms = took.as_millis() as u64,
            "request not served"
        );
    }
}
