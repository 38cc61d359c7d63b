//! One try of a turn on one upstream, from the start call to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use fw_base::chat;
use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use fw_wire::buffer;
use fw_wire::side;
use fw_wire::transport;

use crate::connection::pool;
use crate::connection::sides;
use crate::process::entry;

/// Time beyond the wait of a read after which its connection counts as not responding.
const READ_GRACE: Duration = Duration::from_millis(500);

/// Consecutive reads without an answer, each over a new connection, after which the side counts as
/// lost.
const MAX_MISSED_READS: u32 = 3;

/// How long events of a stream are batched before they are passed on: a third of the 30 ms between
/// tokens that callers are promised. A separate read for each token costs the entry 0.4 ms of processor
/// time (`docs/MEASURED.md`).
const GATHER_WINDOW: Duration = Duration::from_millis(10);

/// Number of first events that are passed on without batching: the one with the role, and the first
/// token.
const UNGATHERED_EVENTS: u32 = 2;

/// Delay after a read that brought no answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A try of a turn.
pub struct Try<'a> {
    /// The entry.
    pub entry: &'a entry::Entry,
    /// The side to try.
    pub side: &'a sides::Side,
    /// The start message; its `messages` follow `base`, which the side is assumed to hold.
    pub start: side::Start,
    /// The whole prompt, for a side that does not hold `base`.
    pub full_prompt: Vec<chat::Message>,
    /// Buffer for the events.
    pub buf: &'a Arc<buffer::Buffer>,
}

impl Try<'_> {
    /// Runs the turn on the side's upstream and passes its events on.
    ///
    /// # Errors
    ///
    /// The kind states whether the turn may have run there.
    pub async fn run(mut self) -> Result<attempt::Finish, error::Error> {
        self.start().await?;
        self.buf.mark_running();
        self.read().await
    }

    async fn start(&mut self) -> Result<(), error::Error> {
        match self.send_start().await? {
            side::StartReply::Accepted => Ok(()),
            side::StartReply::Refused(err) => Err(err),
            side::StartReply::NeedHistory => self.start_with_full_prompt().await,
        }
    }

    async fn start_with_full_prompt(&mut self) -> Result<(), error::Error> {
        self.start.base = digest::Digest::EMPTY;
        self.start.messages = std::mem::take(&mut self.full_prompt);
        match self.send_start().await? {
            side::StartReply::Accepted => Ok(()),
            side::StartReply::Refused(err) => Err(err),
            side::StartReply::NeedHistory => {
                let message = "the side requested history for a start that contained all of it";
                Err(error::Error::new(error::Kind::Internal, message))
            }
        }
    }

    /// Sends the start message. It is idempotent by its attempt id, so it is sent once more if its answer
    /// was lost.
    async fn send_start(&self) -> Result<side::StartReply, error::Error> {
        let within = self.entry.settings.upstream.connect_timeout * 4;
        let mut sent = false;
        for _ in 0..2 {
            let start = self.start.clone();
            let cx = transport::context(within);
            let call = |client: side::SideClient| async move { client.start(cx, start).await };
            let addr = self.side.instance.side;
            match self.entry.sides.pool.call(addr, call).await {
                Ok(reply) => return Ok(reply),
                Err(pool::Failure::Broken) => sent = true,
                Err(pool::Failure::Refused | pool::Failure::Unsent) => break,
            }
        }
        Err(if sent {
            self.lost()
        } else {
            self.unreachable()
        })
    }

    async fn read(&self) -> Result<attempt::Finish, error::Error> {
        let mut offset: u32 = 0;
        let mut missed = 0;
        while missed < MAX_MISSED_READS {
            let Some(reply) = self.read_once(offset).await else {
                missed += 1;
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            };
            missed = 0;
            offset += u32::try_from(reply.events.len()).unwrap_or(u32::MAX);
            if !reply.events.is_empty() {
                self.buf.push(reply.events);
            }
            match reply.state {
                attempt::State::Queued | attempt::State::Running => {}
                attempt::State::Done(finish) => return Ok(*finish),
                attempt::State::Failed(err) => return Err(err),
                attempt::State::Moved(_) | attempt::State::Unknown => return Err(self.lost()),
            }
        }
        Err(self.lost())
    }

    async fn read_once(&self, offset: u32) -> Option<attempt::ReadReply> {
        let wait = self.entry.settings.upstream.read_wait;
        let req = attempt::Read {
            attempt: self.start.attempt,
            offset,
            wait,
            gather: if offset < UNGATHERED_EVENTS {
                Duration::ZERO
            } else {
                GATHER_WINDOW
            },
        };
        let cx = transport::context(wait + READ_GRACE);
        let call = |client: side::SideClient| async move { client.read(cx, req).await };
        let addr = self.side.instance.side;
        self.entry.sides.pool.call(addr, call).await.ok()
    }

    fn lost(&self) -> error::Error {
        let message = format!(
            "upstream {} was lost during the turn",
            self.side.instance.id
        );
        error::Error::new(error::Kind::UpstreamCrashed, message)
    }

    fn unreachable(&self) -> error::Error {
        let message = format!("upstream {} cannot be reached", self.side.instance.id);
        error::Error::new(error::Kind::NoUpstream, message)
    }
}

/// Cancels an attempt at a side, best effort. At a side that cannot be reached the attempt ends with its
/// deadline or with its session.
pub async fn cancel(entry: &entry::Entry, side: &sides::Side, attempt: id::AttemptId) {
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: side::SideClient| async move { client.cancel(cx, attempt).await };
    let _unreachable = entry.sides.pool.call(side.instance.side, call).await;
}

/// Whether a side has the whole answer of an attempt.
pub async fn holds(entry: &entry::Entry, side: &sides::Side, attempt: id::AttemptId) -> bool {
    let req = attempt::Read {
        attempt,
        offset: u32::MAX,
        wait: Duration::ZERO,
        gather: Duration::ZERO,
    };
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: side::SideClient| async move { client.read(cx, req).await };
    let reply = entry.sides.pool.call(side.instance.side, call).await;
    reply.is_ok_and(|reply| matches!(reply.state, attempt::State::Done(_)))
}

/// Notifies a side that an attempt's answer is durable. If the call is lost, the side drops the answer
/// when its retention expires.
pub async fn forget(entry: &entry::Entry, side: &sides::Side, attempt: id::AttemptId) {
    let cx = transport::context(entry.settings.upstream.connect_timeout);
    let call = |client: side::SideClient| async move { client.forget(cx, attempt).await };
    let _unreachable = entry.sides.pool.call(side.instance.side, call).await;
}
