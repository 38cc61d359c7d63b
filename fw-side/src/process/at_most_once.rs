//! Deduplication of plain calls that must run at most once, by their ids.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use parking_lot::Mutex;

use crate::errors;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    InProgress,
    Ended,
}

#[derive(Debug, Default)]
struct Inner {
    calls: HashMap<id::AttemptId, State>,
    order: VecDeque<(Instant, id::AttemptId)>,
}

/// Ids of recent at-most-once calls.
#[derive(Debug)]
pub struct CallIds {
    retention: Duration,
    max_ids: usize,
    inner: Mutex<Inner>,
}

impl CallIds {
    /// Retains at most `max_ids` ids, each for `retention`.
    pub fn new(retention: Duration, max_ids: usize) -> Self {
        Self {
            retention,
            max_ids,
            inner: Mutex::default(),
        }
    }

    /// Records that the call is about to be sent.
    ///
    /// Guards against an entry that sends a call again because its connection stopped responding,
    /// which would bill the caller twice. The id is recorded before the first byte is sent, so a
    /// duplicate is detected whatever the outcome of the first call.
    ///
    /// # Errors
    ///
    /// `KeyInUse` or `MayHaveRun` for a duplicate, `Overloaded` if no more ids can be retained.
    pub fn begin(&self, id: id::AttemptId, now: Instant) -> Result<(), error::Error> {
        let mut inner = self.inner.lock();
        inner.expire(now, self.retention);
        match inner.calls.get(&id) {
            Some(State::InProgress) => Err(errors::counted(
                error::Kind::KeyInUse,
                "a call with this `x-fw-attempt` is in progress; read its outcome instead",
            )),
            Some(State::Ended) => Err(errors::counted(
                error::Kind::MayHaveRun,
                "a call with this `x-fw-attempt` has already been sent; it is not sent again",
            )),
            None if inner.calls.len() >= self.max_ids => Err(errors::counted(
                error::Kind::Overloaded,
                format!(
                    "the limit of {} at-most-once call ids is reached; retry later",
                    self.max_ids
                ),
            )),
            None => {
                inner.calls.insert(id, State::InProgress);
                inner.order.push_back((now, id));
                Ok(())
            }
        }
    }

    /// Records that the call was sent and has ended, with any outcome.
    pub fn finish(&self, id: id::AttemptId) {
        if let Some(state) = self.inner.lock().calls.get_mut(&id) {
            *state = State::Ended;
        }
    }

    /// Removes a call of which no byte was sent, so that it may be retried.
    pub fn forget_unsent(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        inner.calls.remove(&id);
        inner.order.retain(|(_, other)| *other != id);
    }
}

impl Inner {
    fn expire(&mut self, now: Instant, retention: Duration) {
        while let Some((at, id)) = self.order.front().copied() {
            let is_in_progress = self.calls.get(&id) == Some(&State::InProgress);
            if is_in_progress || now.saturating_duration_since(at) < retention {
                return;
            }
            self.order.pop_front();
            self.calls.remove(&id);
        }
    }
}
