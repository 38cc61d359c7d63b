//! Reader of a submitted turn: follows it to its end across lost connections and changes of attempt
//! and keeper.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use fw_wire::peer;
use fw_wire::transport;

use super::splice;
use crate::connection::pool;
use crate::process::entry;
use crate::process::keepers;
use crate::turn::submit;

/// Counter of turns submitted again because their attempt could not be read further, by reason.
pub const RESUMED: &str = "fw_entry_follows_resumed_total";

/// Time beyond the wait of a read after which its connection counts as not responding.
const READ_GRACE: Duration = Duration::from_millis(500);

/// Which updates of a turn are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Every event, as it arrives.
    Events,
    /// The end only.
    End,
}

/// An update of a followed turn.
#[derive(Debug)]
pub enum Update {
    /// An event to pass on.
    Event(attempt::Event),
    /// The end of the answer; no update follows.
    Done(Box<attempt::Finish>),
}

/// A followed turn.
pub struct Follow {
    entry: Arc<entry::Entry>,
    req: peer::Submit,
    mode: Mode,
    location: keepers::Location,
    attempt: id::AttemptId,
    first_attempt: id::AttemptId,
    turn: id::Turn,
    offset: u32,
    splice: splice::Splice,
    ready: VecDeque<attempt::Event>,
    end: Option<Box<attempt::Finish>>,
    deadline: tokio::time::Instant,
    finished: bool,
}

impl Follow {
    /// Submits a turn and follows it.
    ///
    /// # Errors
    ///
    /// When the turn is refused.
    pub async fn submit(
        entry: Arc<entry::Entry>,
        req: peer::Submit,
        mode: Mode,
    ) -> Result<Self, error::Error> {
        let deadline = tokio::time::Instant::now() + req.deadline;
        let accepted = submit::submit_to_keeper(&entry, &req).await?;
        Ok(Self {
            entry,
            req,
            mode,
            location: accepted.location,
            attempt: accepted.attempt,
            first_attempt: accepted.attempt,
            turn: accepted.turn,
            offset: 0,
            splice: splice::Splice::default(),
            ready: VecDeque::new(),
            end: None,
            deadline,
            finished: false,
        })
    }

    /// The turn's number.
    pub fn turn(&self) -> id::Turn {
        self.turn
    }

    /// The answer's id, as OpenAI's API writes it.
    pub fn answer_id(&self) -> String {
        format!("chatcmpl-{:016x}", self.first_attempt)
    }

    /// Waits for the next update.
    ///
    /// # Errors
    ///
    /// When the turn failed, its answer cannot be continued, or the deadline passed.
    pub async fn next(&mut self) -> Result<Update, error::Error> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(Update::Event(event));
            }
            if let Some(finish) = self.end.take() {
                self.finished = true;
                return Ok(Update::Done(finish));
            }
            if tokio::time::Instant::now() >= self.deadline {
                return Err(deadline_exceeded());
            }
            let reply = self.read().await;
            let step = self.apply(reply).await;
            if step.is_err() {
                self.finished = true;
            }
            step?;
        }
    }

    async fn apply(&mut self, reply: Option<attempt::ReadReply>) -> Result<(), error::Error> {
        let Some(reply) = reply else {
            return self.resubmit("connection").await;
        };
        for event in reply.events {
            self.offset += 1;
            self.ready.extend(self.splice.pass(event)?);
        }
        match reply.state {
            attempt::State::Queued | attempt::State::Running => Ok(()),
            attempt::State::Done(finish) => {
                self.end = Some(finish);
                Ok(())
            }
            attempt::State::Failed(err) => Err(err),
            attempt::State::Moved(attempt) => self.restart(attempt),
            attempt::State::Unknown => self.resubmit("unknown").await,
        }
    }

    /// One read; `None` if the keeper cannot be reached, also over a new connection.
    async fn read(&self) -> Option<attempt::ReadReply> {
        let wait = self.entry.settings.upstream.read_wait;
        let req = attempt::Read {
            attempt: self.attempt,
            offset: match self.mode {
                Mode::Events => self.offset,
                Mode::End => u32::MAX,
            },
            wait,
            gather: Duration::ZERO,
        };
        let addr = match self.location {
            keepers::Location::Local => return Some(self.entry.attempts.read(req).await),
            keepers::Location::Remote(addr) => addr,
        };
        // The second try uses a new connection, since the first may have stopped responding.
        for _ in 0..2 {
            let cx = transport::context(wait + READ_GRACE);
            let req = req.clone();
            let read = |client: peer::PeerClient| async move { client.read(cx, req).await };
            match self.entry.peers.call(addr, read).await {
                Ok(reply) => return Some(reply),
                Err(pool::Failure::Broken) => {}
                Err(pool::Failure::Refused | pool::Failure::Unsent) => return None,
            }
        }
        None
    }

    /// Submits the turn again under its number after its keeper died or dropped the attempt. The keeper
    /// attaches to the turn, replays its answer or runs it again, but never runs it twice at the same
    /// time.
    async fn resubmit(&mut self, reason: &'static str) -> Result<(), error::Error> {
        metrics::counter!(RESUMED, "reason" => reason).increment(1);
        self.req.turn = Some(self.turn);
        self.req.deadline = self
            .deadline
            .saturating_duration_since(tokio::time::Instant::now());
        let accepted = submit::submit_to_keeper(&self.entry, &self.req).await;
        // The turn was accepted before, so it may have run whatever the reason for a refusal now.
        let accepted = accepted.map_err(|err| err.merge_earlier(Some(keepers::keeper_lost())))?;
        self.location = accepted.location;
        self.restart(accepted.attempt)
    }

    fn restart(&mut self, attempt: id::AttemptId) -> Result<(), error::Error> {
        self.splice.restart()?;
        self.attempt = attempt;
        self.offset = 0;
        Ok(())
    }
}

impl Drop for Follow {
    /// Detaches a caller that disconnects before the end from the keeper, which cancels the attempt or
    /// lets it continue, as configured in the service's record.
    fn drop(&mut self) {
        if self.finished {
            return;
        }
        let (entry, attempt) = (Arc::clone(&self.entry), self.attempt);
        match self.location {
            keepers::Location::Local => entry.attempts.detach(attempt),
            keepers::Location::Remote(addr) => {
                tokio::spawn(async move {
                    let cx = transport::context(entry.settings.upstream.read_wait);
                    let send =
                        |client: peer::PeerClient| async move { client.detach(cx, attempt).await };
                    // If this call is lost, the attempt runs to its end and its answer is kept.
                    let _lost = entry.peers.call(addr, send).await;
                });
            }
        }
    }
}

fn deadline_exceeded() -> error::Error {
    let message = "the deadline passed while the turn was under way; send it again to attach to it";
    error::Error::new(error::Kind::DeadlineExceeded, message)
}
