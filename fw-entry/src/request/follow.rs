//! Follows a submitted turn to its end, over lost connections and changes of attempt and keeper.

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

/// Counter of follows that went on elsewhere, by reason.
pub const RESUMED: &str = "fw_entry_follows_resumed_total";

/// Time beyond the wait of a read after which its connection counts as silent.
const SLACK: Duration = Duration::from_millis(500);

/// How a turn is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Every event, as it comes.
    Events,
    /// The end only.
    End,
}

/// The next news of a turn.
#[derive(Debug)]
pub enum News {
    /// An event to pass on.
    Event(attempt::Event),
    /// The whole answer; nothing follows.
    Done(Box<attempt::Finish>),
}

/// A turn that is followed.
pub struct Follow {
    entry: Arc<entry::Entry>,
    req: peer::Submit,
    mode: Mode,
    place: keepers::Place,
    attempt: id::AttemptId,
    first_attempt: id::AttemptId,
    turn: id::Turn,
    offset: u32,
    splice: splice::Splice,
    ready: VecDeque<attempt::Event>,
    end: Option<Box<attempt::Finish>>,
    deadline: tokio::time::Instant,
    settled: bool,
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
        let accepted = submit::at_keeper(&entry, &req).await?;
        Ok(Self {
            entry,
            req,
            mode,
            place: accepted.place,
            attempt: accepted.attempt,
            first_attempt: accepted.attempt,
            turn: accepted.turn,
            offset: 0,
            splice: splice::Splice::default(),
            ready: VecDeque::new(),
            end: None,
            deadline,
            settled: false,
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

    /// The next news, once there is some.
    ///
    /// # Errors
    ///
    /// When the turn failed, its answer cannot be continued, or the deadline passed.
    pub async fn next(&mut self) -> Result<News, error::Error> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(News::Event(event));
            }
            if let Some(finish) = self.end.take() {
                self.settled = true;
                return Ok(News::Done(finish));
            }
            if tokio::time::Instant::now() >= self.deadline {
                return Err(overdue());
            }
            let reply = self.read().await;
            let step = self.take(reply).await;
            if step.is_err() {
                self.settled = true;
            }
            step?;
        }
    }

    async fn take(&mut self, reply: Option<attempt::ReadReply>) -> Result<(), error::Error> {
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
        let addr = match self.place {
            keepers::Place::Here => return Some(self.entry.attempts.read(req).await),
            keepers::Place::At(addr) => addr,
        };
        // The second try goes over a new connection: the first may have gone silent.
        for _ in 0..2 {
            let cx = transport::context(wait + SLACK);
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

    /// The keeper died or forgot the attempt. The turn is submitted again under its number: a new
    /// keeper attaches to it, replays its answer or runs it anew, and never runs it beside itself.
    async fn resubmit(&mut self, reason: &'static str) -> Result<(), error::Error> {
        metrics::counter!(RESUMED, "reason" => reason).increment(1);
        self.req.turn = Some(self.turn);
        self.req.deadline = self
            .deadline
            .saturating_duration_since(tokio::time::Instant::now());
        let accepted = submit::at_keeper(&self.entry, &self.req).await;
        // Whatever refuses it now: it was accepted before, so it may have run.
        let accepted = accepted.map_err(|err| err.merge_earlier(Some(keepers::lost())))?;
        self.place = accepted.place;
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
    /// A caller that goes away before the end is made known to the keeper, which cancels the
    /// attempt or lets it go on, as the service's record says.
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let (entry, attempt) = (Arc::clone(&self.entry), self.attempt);
        match self.place {
            keepers::Place::Here => entry.attempts.detach(attempt),
            keepers::Place::At(addr) => {
                tokio::spawn(async move {
                    let cx = transport::context(entry.settings.upstream.read_wait);
                    let send =
                        |client: peer::PeerClient| async move { client.detach(cx, attempt).await };
                    // If it is lost, the attempt runs to its end and its answer is kept.
                    let _lost = entry.peers.call(addr, send).await;
                });
            }
        }
    }
}

fn overdue() -> error::Error {
    let message = "the deadline passed while the turn was under way; send it again to attach to it";
    error::Error::new(error::Kind::DeadlineExceeded, message)
}
