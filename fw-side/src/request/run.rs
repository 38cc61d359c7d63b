//! Execution of one attempt in the engine.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::chat;
use fw_base::error;
use fw_base::id;
use fw_wire::attempt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http;

use super::answer;
use super::body;
use super::sse;
use crate::errors;
use crate::process::attempts;
use crate::process::core;
use crate::process::engine;
use crate::process::histories;

/// Maximum number of times that a cancellation is sent while the engine does not confirm it.
const MAX_CANCEL_ATTEMPTS: u32 = 5;
/// Delay between cancellations.
const CANCEL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Failure of a run.
#[derive(Debug)]
enum RunError {
    /// No connection was established, so no byte was sent.
    Unsent {
        /// The connection was refused: no process listens at the engine's address.
        refused: bool,
    },
    /// The engine is gone, or lost the request.
    Crashed(String),
    /// A failure that concerns only this attempt.
    Failed(error::Error),
}

/// State of a run.
struct Run<'a> {
    core: &'a core::Core,
    attempt: &'a attempts::Attempt,
    prompt: histories::Prompt,
    request_id: String,
    dispatched_at: Instant,
    answer: answer::Answer,
    /// The engine sent a response, so it has received the request.
    accepted: bool,
    /// Number of events received from the engine.
    received_events: usize,
    first_token_at: Option<Instant>,
    last_token_at: Option<Instant>,
}

/// Runs a dispatched `attempt` to its end. The request is never sent twice.
pub async fn run(core: Arc<core::Core>, attempt: Arc<attempts::Attempt>) {
    let start = &attempt.start;
    core.sessions
        .begin_run(&start.program, start.shard, Instant::now());
    attempt.buffer.mark_running();
    let mut run = Run {
        request_id: request_id_of(start.attempt),
        core: &core,
        attempt: &attempt,
        prompt: attempt.take_prompt(),
        dispatched_at: Instant::now(),
        answer: answer::Answer::default(),
        accepted: false,
        received_events: 0,
        first_token_at: None,
        last_token_at: None,
    };
    let deadline = tokio::time::Instant::from_std(attempt.deadline());
    let outcome = tokio::select! {
        outcome = run.execute() => Some(outcome),
        () = attempt.stop.cancelled() => None,
        () = core.aborted.cancelled() => return,
        () = tokio::time::sleep_until(deadline) => Some(Err(RunError::Failed(errors::counted(
            error::Kind::DeadlineExceeded,
            "the caller's deadline passed during the run; allow more time",
        )))),
    };
    let needs_cancel = !matches!(outcome, Some(Ok(())));
    run.conclude(outcome);
    if needs_cancel {
        cancel(&core, &run.request_id).await;
    }
    // The slot in the engine is free only after the cancellation: a request that still runs would
    // share the batch with the next one without being counted by the queue.
    core.sessions.end_run(&start.program, Instant::now());
    core.queue.finish(start.attempt);
    core.queue_changed.notify_one();
}

/// Request id of an attempt in the engine.
fn request_id_of(attempt: id::AttemptId) -> String {
    format!("{attempt:016x}")
}

async fn cancel(core: &core::Core, request_id: &str) {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        if core.is_down()
            || core.engine.cancel(request_id).await == engine::CommandResult::Confirmed
        {
            return;
        }
        tokio::time::sleep(CANCEL_RETRY_DELAY).await;
    }
    metrics::counter!("fw_side_cancels_unconfirmed_total").increment(1);
}

impl Run<'_> {
    /// Sends the request once and reads its stream until it is complete.
    async fn execute(&mut self) -> Result<(), RunError> {
        let start = &self.attempt.start;
        let opts = body::Options {
            model: &start.model,
            max_tokens: start.max_tokens,
            params: &start.params,
        };
        let body = body::write(&opts, self.prompt.messages()).map_err(RunError::Failed)?;
        let sent = self
            .core
            .engine
            .complete(&self.request_id, &start.program, body);
        let mut next = match sent.await {
            Ok(head) => Some(open_stream(head).await?),
            Err(err) if err.is_unsent() => {
                let refused = engine::is_connection_refused(&err);
                return Err(RunError::Unsent { refused });
            }
            // The connection has failed, but the engine may have received the request.
            Err(_) => None,
        };
        self.accepted = next.is_some();
        let mut empty_reads = 0;
        loop {
            let before = self.received_events;
            if let Some(body) = next.take()
                && self.read_stream(body).await?
            {
                return Ok(());
            }
            empty_reads = if self.received_events > before {
                0
            } else {
                empty_reads + 1
            };
            if empty_reads > self.core.opts.max_resumes {
                return Err(self.timeout_error());
            }
            next = self.resume().await?;
        }
    }

    /// Reads the stream from one connection. Returns true when the answer is complete, and false
    /// when the connection failed or exceeded the idle timeout.
    async fn read_stream(&mut self, mut body: Incoming) -> Result<bool, RunError> {
        let mut decoder = sse::Decoder::default();
        loop {
            loop {
                match decoder.next_event() {
                    sse::Decoded::Data(data) => self.handle_chunk(data)?,
                    sse::Decoded::Done => return self.check_complete().map(|()| true),
                    sse::Decoded::Incomplete => break,
                    sse::Decoded::Malformed => {
                        return Err(upstream_error("the engine's stream is malformed"));
                    }
                }
            }
            let idle_timeout = self.idle_timeout();
            let Ok(Some(Ok(frame))) = tokio::time::timeout(idle_timeout, body.frame()).await else {
                return Ok(false);
            };
            if let Some(bytes) = frame.data_ref() {
                decoder.feed(bytes);
            }
        }
    }

    /// Idle timeout of the stream.
    fn idle_timeout(&self) -> Duration {
        let cfg = &self.core.opts.settings.engine;
        match self.first_token_at {
            None => cfg.first_token_timeout,
            Some(_) => cfg.between_tokens_timeout,
        }
    }

    /// Resumes the stream over a new connection.
    ///
    /// Guards against a connection that stops responding permanently while new ones work: the
    /// caller would wait forever, and sending the request again would run the turn twice. The
    /// engine identifies the request by its id and sends the chunks from the offset on.
    async fn resume(&self) -> Result<Option<Incoming>, RunError> {
        metrics::counter!("fw_side_resumes_total").increment(1);
        let head = match self
            .core
            .engine
            .resume(&self.request_id, self.received_events)
            .await
        {
            Ok(head) => head,
            Err(err) if engine::is_connection_refused(&err) => {
                return Err(RunError::Crashed("it refuses connections".into()));
            }
            Err(_) => return Ok(None),
        };
        if head.status() == http::StatusCode::NOT_FOUND {
            return Err(self.unknown_request_error());
        }
        open_stream(head).await.map(Some)
    }

    /// Error for a request that is unknown to the engine. If the engine had accepted it, the engine
    /// was restarted. If it never responded, it may not have received the request, or may have been
    /// restarted too: this fails only the one turn.
    fn unknown_request_error(&self) -> RunError {
        let why = "the request is unknown to it";
        if self.accepted {
            return RunError::Crashed(why.into());
        }
        RunError::Failed(errors::counted(
            error::Kind::UpstreamCrashed,
            "the connection to the engine failed, and the request is unknown to the engine",
        ))
    }

    fn handle_chunk(&mut self, data: String) -> Result<(), RunError> {
        self.received_events += 1;
        match self.answer.apply_chunk(&data) {
            answer::ChunkKind::Part { has_content } => {
                if has_content {
                    self.record_token();
                }
                self.attempt.push(attempt::Event::from(data));
                Ok(())
            }
            answer::ChunkKind::Usage => Ok(()),
            answer::ChunkKind::Error(why) => Err(upstream_error(&format!(
                "the engine reported an error: {why}"
            ))),
            answer::ChunkKind::Malformed(why) => Err(upstream_error(&format!(
                "the engine sent an invalid chunk: {why}"
            ))),
        }
    }

    fn record_token(&mut self) {
        let now = Instant::now();
        self.core.meter.record_token(now);
        if let Some(last_token_at) = self.last_token_at {
            self.core.meter.record_step(now - last_token_at);
        }
        self.last_token_at = Some(now);
        if self.first_token_at.is_none() {
            self.first_token_at = Some(now);
            self.core.queue.finish_prefill(self.attempt.start.attempt);
            self.core.queue_changed.notify_one();
        }
    }

    fn check_complete(&self) -> Result<(), RunError> {
        match self.answer.finish_reason() {
            Some(_) => Ok(()),
            None => Err(upstream_error(
                "the engine ended the stream without a finish reason",
            )),
        }
    }

    fn timeout_error(&self) -> RunError {
        RunError::Failed(errors::counted(
            error::Kind::UpstreamTimeout,
            "the engine stopped sending, and resuming over new connections yielded no data",
        ))
    }

    fn conclude(&self, outcome: Option<Result<(), RunError>>) {
        match outcome {
            Some(Ok(())) => self.finish(),
            Some(Err(RunError::Unsent { refused })) => {
                let why = "could not connect to the engine; nothing was sent";
                self.fail(errors::counted(error::Kind::NoUpstream, why));
                if refused {
                    self.core.mark_crashed("it refuses connections");
                }
            }
            Some(Err(RunError::Crashed(why))) => {
                self.fail(errors::counted(
                    error::Kind::UpstreamCrashed,
                    format!("the engine crashed during the turn: {why}"),
                ));
                self.core.mark_crashed(&why);
            }
            Some(Err(RunError::Failed(err))) => self.fail(err),
            // The attempt was ended before its run was stopped.
            None => {}
        }
    }

    fn fail(&self, err: error::Error) {
        self.attempt.end(attempt::State::Failed(err));
    }

    fn finish(&self) {
        let message = match self.answer.message() {
            Ok(message) => message,
            Err(err) => return self.fail(errors::counted(error::Kind::Internal, err.to_string())),
        };
        let usage = self.answer.usage();
        let first_token_at = self.first_token_at.unwrap_or_else(Instant::now);
        let first_token = first_token_at.saturating_duration_since(self.dispatched_at);
        let uncached = usage.prompt.saturating_sub(usage.cached);
        self.core.meter.record_prefill(uncached, first_token);
        self.store_history(&message, usage);
        let finish = attempt::Finish {
            message,
            finish_reason: self.answer.finish_reason().unwrap_or("stop").to_owned(),
            usage,
            queued: self
                .dispatched_at
                .saturating_duration_since(self.attempt.arrived_at),
            first_token,
            ran: self.dispatched_at.elapsed(),
        };
        metrics::histogram!("fw_side_first_token_seconds").record(first_token.as_secs_f64());
        metrics::counter!("fw_side_prefilled_tokens_total").increment(uncached);
        metrics::counter!("fw_side_cached_tokens_total").increment(usage.cached);
        self.attempt.end(attempt::State::Done(Box::new(finish)));
    }

    /// Stores the history for the next turn, and updates the view of the engine's cache without
    /// waiting for the engine's own events.
    fn store_history(&self, message: &chat::Message, usage: chat::Usage) {
        let program = &self.attempt.start.program;
        let mut prompt = self.prompt.clone();
        prompt.push(message.clone());
        self.core.histories.put(program, prompt);
        self.core
            .cache_view
            .set_cached(program, usage.prompt + usage.completion);
    }
}

/// The body of a response with a success status, or an error for any other status.
async fn open_stream(head: http::Response<Incoming>) -> Result<Incoming, RunError> {
    let status = head.status();
    if status.is_success() {
        return Ok(head.into_body());
    }
    let text = engine::error_text(head.into_body()).await;
    Err(upstream_error(&format!(
        "the engine answered {status}: {text}"
    )))
}

fn upstream_error(why: &str) -> RunError {
    RunError::Failed(errors::counted(error::Kind::UpstreamError, why))
}
