//! Admission of programs: whether a call with which one begins may run.

use fw_base::{error, id};
use fw_plan::begin;

use super::Fleet;

/// Label of programs refused because no slot became free while their first call waited.
const REASON_ROOM: &str = "room";

/// A refusal to begin a program.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The error for the caller.
    pub err: error::Error,
    /// The figures behind it, where programs are admitted by fair shares and feasibility.
    pub figures: Option<begin::Refusal>,
}

impl Fleet {
    /// Refuses to begin a program while programs in progress need the upstreams of `service`.
    ///
    /// *Failure:* a burst brings more programs than the engines can finish, and all of them begin. Each then
    /// takes longer, so that more are in progress at once than fit into the engines' KV caches; prompts are
    /// prefilled again and again, and hardly any program is in time until long after the burst.
    ///
    /// # Errors
    ///
    /// `Overloaded`, with the time after which to retry.
    pub fn admit_program(
        &self,
        service: &id::ServiceId,
        req: &begin::Request,
    ) -> Result<(), Refused> {
        let Some(state) = self.service(service) else {
            return Ok(());
        };
        let mut state = state.lock();
        let (slots, load) = self.occupancy(&state);
        let message = || format!("programs in progress have {load:.0} calls for {slots:.0} slots");
        if !self.features.fair_admission() {
            if self.wait_queue.may_begin(req.level, slots, load) {
                return Ok(());
            }
            count(begin::Reason::Load.label());
            let err = error::Error::new(error::Kind::Overloaded, message());
            let after = self.wait_queue.draw_retry_after(rand::random());
            return Err(Refused {
                err: err.with_retry_after(after),
                figures: None,
            });
        }
        let seen = begin::State { slots, load };
        let opts = self.features.begin_options();
        let decided = state
            .admission
            .decide(opts, &seen, req, self.now(), rand::random());
        decided.map_err(|figures| {
            count(figures.reason.label());
            let err = error::Error::new(error::Kind::Overloaded, message());
            Refused {
                err: err.with_retry_after(figures.retry_after),
                figures: Some(figures),
            }
        })
    }

    /// Counts a program that was refused after its first call had waited in vain.
    pub(super) fn count_refused_wait(&self) {
        if self.features.fair_admission() {
            count(REASON_ROOM);
        }
    }
}

fn count(reason: &'static str) {
    metrics::counter!("fw_gate_programs_refused_total", "reason" => reason).increment(1);
}
