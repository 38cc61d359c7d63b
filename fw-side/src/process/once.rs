//! Ids of plain calls that must run at most once.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use parking_lot::Mutex;

use crate::refuse;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    UnderWay,
    Ended,
}

#[derive(Debug, Default)]
struct Inner {
    calls: HashMap<id::AttemptId, State>,
    order: VecDeque<(Instant, id::AttemptId)>,
}

/// The calls seen lately.
#[derive(Debug)]
pub struct Once {
    keep: Duration,
    max: usize,
    inner: Mutex<Inner>,
}

impl Once {
    /// Remembers at most `max` calls, each for `keep`.
    pub fn new(keep: Duration, max: usize) -> Self {
        Self {
            keep,
            max,
            inner: Mutex::default(),
        }
    }

    /// Notes that the call is about to be sent.
    ///
    /// Guards against an entry that sends a call again because the answer's connection went
    /// silent: the caller would be billed twice. The id is noted before a byte is sent, so a
    /// second arrival finds it, whatever became of the first.
    ///
    /// # Errors
    ///
    /// `KeyInUse` or `MayHaveRun` for a second arrival, `Overloaded` if no more can be remembered.
    pub fn begin(&self, id: id::AttemptId, now: Instant) -> Result<(), error::Error> {
        let mut inner = self.inner.lock();
        inner.expire(now, self.keep);
        match inner.calls.get(&id) {
            Some(State::UnderWay) => Err(refuse::with(
                error::Kind::KeyInUse,
                "a call with this `x-fw-attempt` is under way; read its outcome instead",
            )),
            Some(State::Ended) => Err(refuse::with(
                error::Kind::MayHaveRun,
                "a call with this `x-fw-attempt` was sent before; it is not sent again",
            )),
            None if inner.calls.len() >= self.max => Err(refuse::with(
                error::Kind::Overloaded,
                format!("{} at-most-once calls are remembered; try later", self.max),
            )),
            None => {
                inner.calls.insert(id, State::UnderWay);
                inner.order.push_back((now, id));
                Ok(())
            }
        }
    }

    /// Notes that the call was sent and is over, however it ended.
    pub fn end(&self, id: id::AttemptId) {
        if let Some(state) = self.inner.lock().calls.get_mut(&id) {
            *state = State::Ended;
        }
    }

    /// Notes that no byte of the call was sent: it may come again.
    pub fn unsent(&self, id: id::AttemptId) {
        let mut inner = self.inner.lock();
        inner.calls.remove(&id);
        inner.order.retain(|(_, other)| *other != id);
    }
}

impl Inner {
    fn expire(&mut self, now: Instant, keep: Duration) {
        while let Some((at, id)) = self.order.front().copied() {
            let is_under_way = self.calls.get(&id) == Some(&State::UnderWay);
            if is_under_way || now.saturating_duration_since(at) < keep {
                return;
            }
            self.order.pop_front();
            self.calls.remove(&id);
        }
    }
}
