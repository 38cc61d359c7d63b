//! Load of the upstream, from its own delayed reports and from measurements of the traffic that
//! passes through the side.

use std::time::Duration;
use std::time::Instant;

use fw_base::id;
use fw_wire::side;
use parking_lot::Mutex;

use super::engine;

/// Weight of a new sample in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Uncached prompt tokens below which the time to first token is too noisy a measure of the prefill
/// rate.
const MIN_PREFILL_SAMPLE_TOKENS: id::Tokens = 256;

#[derive(Debug, Default)]
struct Inner {
    report: engine::Report,
    reported_at: Option<Instant>,
    last_token_at: Option<Instant>,
    step: f64,
    prefill_rate: f64,
}

/// Smoothed measurements.
#[derive(Debug, Default)]
pub struct Meter {
    inner: Mutex<Inner>,
}

impl Meter {
    /// Records a report of the engine.
    pub fn record_report(&self, report: engine::Report, now: Instant) {
        let mut inner = self.inner.lock();
        inner.report = report;
        inner.reported_at = Some(now);
    }

    /// Records that a stream delivered a token.
    pub fn record_token(&self, now: Instant) {
        self.inner.lock().last_token_at = Some(now);
    }

    /// Whether any stream delivered a token within the last `within`.
    pub fn is_streaming(&self, now: Instant, within: Duration) -> bool {
        let last_token_at = self.inner.lock().last_token_at;
        last_token_at.is_some_and(|at| now.saturating_duration_since(at) < within)
    }

    /// Records the time between two tokens of one stream.
    pub fn record_step(&self, elapsed: Duration) {
        let mut inner = self.inner.lock();
        inner.step = ewma(inner.step, elapsed.as_secs_f64());
    }

    /// Records the time to first token for `tokens` of prefill.
    pub fn record_prefill(&self, tokens: id::Tokens, elapsed: Duration) {
        if tokens < MIN_PREFILL_SAMPLE_TOKENS || elapsed.is_zero() {
            return;
        }
        let mut inner = self.inner.lock();
        let rate = tokens as f64 / elapsed.as_secs_f64();
        inner.prefill_rate = ewma(inner.prefill_rate, rate);
    }

    /// Smoothed time between tokens; zero if there is no sample.
    pub fn step_time(&self) -> Duration {
        Duration::from_secs_f64(self.inner.lock().step)
    }

    /// Maximum batch size that the engine reported; 0 if it has not reported one.
    pub fn batch(&self) -> u32 {
        self.inner.lock().report.batch
    }

    /// The load fields that come from the engine's reports and from measurements; the others are
    /// zero.
    pub fn load(&self, now: Instant) -> side::Load {
        let inner = self.inner.lock();
        let since = inner
            .reported_at
            .map(|at| now.saturating_duration_since(at));
        let age = Duration::from_millis(inner.report.age_ms);
        side::Load {
            step: Duration::from_secs_f64(inner.step),
            prefill_rate: inner.prefill_rate as u64,
            cache_used: inner.report.cache_used,
            cache_size: inner.report.cache_size,
            batch: inner.report.batch,
            age: since.unwrap_or_default() + age,
            ..side::Load::default()
        }
    }
}

fn ewma(old: f64, new: f64) -> f64 {
    if old == 0.0 {
        return new;
    }
    old + (new - old) * EWMA_WEIGHT
}
