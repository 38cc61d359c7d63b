//! Recorded agents: programs with pauses, tool calls, retries, concurrent duplicates and callers
//! that disconnect.

use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_check::event::Event;
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::Value;
use serde_json::json;

use super::calls;
use crate::agent;
use crate::caller;

/// Longest wait for one answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time over which a tool call is retried. A key may stay in use long after its call has
/// failed; the program then continues without knowing whether the tool ran.
const TOOL_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest pause before a retry.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// Pause before a retry if the error gives none.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most tokens of an answer.
const MAX_ANSWER_TOKENS: u64 = 24;

/// Behaviour of one program.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Its name.
    pub program: id::ProgramId,
    /// Time before its first turn.
    pub start: Duration,
    /// Number of turns.
    pub turns: id::Turn,
    /// Whether each turn sends only its new message instead of the whole history.
    pub delta: bool,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Pause between turns.
    pub pause: Duration,
    /// Turns after which a tool is called that must run at most once.
    pub tools: Vec<id::Turn>,
    /// Turns whose call, and whose tool call, is sent through two entries concurrently.
    pub duplicated: Vec<id::Turn>,
    /// Turns whose caller disconnects after a few milliseconds and sends them again.
    pub abandoned: Vec<id::Turn>,
    /// Whether its caller ends it.
    pub end: bool,
    /// Time after which its caller stops retrying.
    pub limit: Duration,
}

impl Plan {
    /// Draws the behaviour of the program `name`.
    pub fn draw(rng: &mut Pcg64, name: &str, limit: Duration) -> Self {
        let turns = rng.random_range(2..=6);
        let mut draw_turns = |chance: f64| -> Vec<id::Turn> {
            let all = 1..=turns;
            all.filter(|_| rng.random_bool(chance)).collect()
        };
        let (tools, duplicated, abandoned) = (draw_turns(0.4), draw_turns(0.2), draw_turns(0.15));
        Self {
            program: name.into(),
            start: Duration::from_millis(rng.random_range(0..2_000)),
            turns,
            delta: rng.random_bool(0.5),
            stream: rng.random_bool(0.7),
            pause: Duration::from_millis(rng.random_range(20..400)),
            tools,
            duplicated,
            abandoned,
            end: rng.random_bool(0.5),
            limit,
        }
    }
}

/// Result of a program.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Its name.
    pub program: id::ProgramId,
    /// Number of turns answered.
    pub answered: id::Turn,
    /// Whether all turns were answered.
    pub finished: bool,
    /// Whether its end was confirmed.
    pub ended: bool,
    /// The error that ended it early, if any.
    pub refused: Option<error::Kind>,
    /// Number of tool calls that may or may not have run, as far as the caller can tell.
    pub unsure_tools: u32,
}

/// Runs a program to its end.
pub async fn run(cx: calls::Context, plan: Plan) -> Outcome {
    tokio::time::sleep(plan.start).await;
    let mut agent = Agent {
        cx,
        until: Instant::now() + plan.limit,
        next: plan.program.len() + plan.turns as usize,
        history: Vec::new(),
        outcome: Outcome {
            program: plan.program.clone(),
            ..Outcome::default()
        },
        plan,
    };
    agent.run().await;
    agent.outcome
}

struct Agent {
    cx: calls::Context,
    plan: Plan,
    until: Instant,
    /// Index of the entry to call next.
    next: usize,
    history: Vec<Value>,
    outcome: Outcome,
}

impl Agent {
    async fn run(&mut self) {
        for turn in 1..=self.plan.turns {
            if !self.turn(turn).await {
                return;
            }
            if self.plan.tools.contains(&turn) {
                self.tool(turn).await;
            }
            tokio::time::sleep(self.plan.pause).await;
        }
        self.outcome.finished = true;
        let program = self.plan.program.clone();
        read(&self.cx, &program, self.until).await;
        if self.plan.end {
            self.outcome.ended = end(&self.cx, &program, self.until).await;
        }
    }

    async fn turn(&mut self, turn: id::Turn) -> bool {
        let mut call = self.call(turn);
        if self.plan.abandoned.contains(&turn) {
            let soon = Duration::from_millis(5 + u64::from(turn) * 7);
            call.timeout = soon;
        }
        while Instant::now() < self.until {
            let result = match self.plan.duplicated.contains(&turn) {
                true => self.send_twice(&call).await,
                false => self.send(&call).await,
            };
            call.timeout = CALL_TIMEOUT;
            match result {
                calls::CallResult::Answered(answer) => {
                    self.history.push(call.message);
                    self.history.push(answer.message());
                    self.outcome.answered = turn;
                    return true;
                }
                calls::CallResult::Refused { kind, .. } if !is_retryable(kind) => {
                    self.outcome.refused = Some(kind);
                    return false;
                }
                calls::CallResult::Refused { after, .. } => self.pause(after).await,
                calls::CallResult::Lost => self.pause(None).await,
            }
        }
        false
    }

    fn call(&self, turn: id::Turn) -> calls::Turn {
        let program = &self.plan.program;
        let message = json!({ "role": "user", "content": agent::text(program, turn, 40) });
        let mut messages = match self.plan.delta {
            true => Vec::new(),
            false => self.history.clone(),
        };
        messages.push(message.clone());
        let history = if self.plan.delta { "delta" } else { "full" };
        let headers = vec![
            ("x-program", program.to_string()),
            ("x-turn", turn.to_string()),
            ("x-history", history.to_owned()),
        ];
        calls::Turn {
            caller: program.clone(),
            program: program.clone(),
            turn,
            message,
            chat: caller::Chat {
                messages,
                stream: self.plan.stream,
                max_tokens: Some(MAX_ANSWER_TOKENS),
                headers,
                ..caller::Chat::default()
            },
            timeout: CALL_TIMEOUT,
        }
    }

    async fn send(&self, call: &calls::Turn) -> calls::CallResult {
        match self.cx.endpoints.pick(self.next) {
            Some(endpoint) => self.cx.turn(&endpoint, call).await,
            None => calls::CallResult::Lost,
        }
    }

    /// Sends a turn through two entries concurrently.
    async fn send_twice(&self, call: &calls::Turn) -> calls::CallResult {
        let (Some(one), Some(other)) = self.two_endpoints() else {
            return calls::CallResult::Lost;
        };
        let (one, other) = tokio::join!(self.cx.turn(&one, call), self.cx.turn(&other, call));
        more_informative(one, other)
    }

    /// Calls a tool under an idempotency key made of program and turn.
    async fn tool(&mut self, turn: id::Turn) {
        let program = &self.plan.program;
        let call = calls::Plain {
            caller: program.clone(),
            method: "POST",
            path: format!("/publish/{program}/{turn}"),
            key: Some(smol_str::format_smolstr!("{program}.{turn}")),
            body: format!("{program} publishes after turn {turn}"),
            timeout: CALL_TIMEOUT,
        };
        let until = self.until.min(Instant::now() + TOOL_TIMEOUT);
        while Instant::now() < until {
            let result = match (self.plan.duplicated.contains(&turn), self.two_endpoints()) {
                (true, (Some(one), Some(other))) => {
                    let (one, other) = (self.cx.plain(&one, &call), self.cx.plain(&other, &call));
                    let (one, other) = tokio::join!(one, other);
                    more_informative(one, other)
                }
                (false, (Some(one), _)) => self.cx.plain(&one, &call).await,
                _ => calls::CallResult::Lost,
            };
            match result {
                calls::CallResult::Answered(_) => return,
                calls::CallResult::Refused { kind, .. } if !is_retryable(kind) => break,
                calls::CallResult::Refused { after, .. } => self.pause(after).await,
                calls::CallResult::Lost => self.pause(None).await,
            }
        }
        self.outcome.unsure_tools += 1;
    }

    fn two_endpoints(
        &self,
    ) -> (
        Option<super::endpoints::Endpoint>,
        Option<super::endpoints::Endpoint>,
    ) {
        let endpoints = &self.cx.endpoints;
        (endpoints.pick(self.next), endpoints.pick(self.next + 1))
    }

    async fn pause(&mut self, after: Option<Duration>) {
        self.next += 1;
        tokio::time::sleep(after.unwrap_or(RETRY_PAUSE).min(MAX_RETRY_PAUSE)).await;
    }
}

/// Whether a call may be sent again after this error. Turns and keyed calls are idempotent, so only
/// a final error forbids it.
fn is_retryable(kind: error::Kind) -> bool {
    kind.row().retry || kind == error::Kind::Cancelled
}

/// Returns the more informative of two results of the same call.
fn more_informative(one: calls::CallResult, other: calls::CallResult) -> calls::CallResult {
    let is_final = |result: &calls::CallResult| match result {
        calls::CallResult::Refused { kind, .. } => !is_retryable(*kind),
        _ => false,
    };
    match (one, other) {
        (result @ calls::CallResult::Answered(_), _)
        | (_, result @ calls::CallResult::Answered(_)) => result,
        (one, other) if is_final(&one) => match other {
            calls::CallResult::Lost => one,
            other => other,
        },
        (calls::CallResult::Lost, other) => other,
        (one, _) => one,
    }
}

/// Reads a program's history and records it; false if no entry answered until `until`.
pub async fn read(cx: &calls::Context, program: &id::ProgramId, until: Instant) -> bool {
    let Some(answer) = request(cx, "GET", program, until).await else {
        return false;
    };
    let history = answer.body["history"].as_array();
    cx.recorder.record(Event::HistoryRead {
        program: program.clone(),
        messages: calls::digests(history.map(Vec::as_slice).unwrap_or_default()),
    });
    true
}

async fn end(cx: &calls::Context, program: &id::ProgramId, until: Instant) -> bool {
    if request(cx, "DELETE", program, until).await.is_none() {
        return false;
    }
    let program = program.clone();
    cx.recorder.record(Event::ProgramEnded { program });
    true
}

/// Sends a request about a program to one entry after another until one answers.
async fn request(
    cx: &calls::Context,
    method: &str,
    program: &id::ProgramId,
    until: Instant,
) -> Option<caller::Answer> {
    let path = format!("/v1/programs/{program}");
    let mut next = 0;
    while Instant::now() < until {
        if let Some(endpoint) = cx.endpoints.pick(next) {
            let caller = caller::Caller::new();
            let answer = caller.plain(endpoint.callers, method, &path, &[], "".into());
            let answer = tokio::time::timeout(CALL_TIMEOUT, answer).await;
            match answer {
                Ok(answer) if answer.is_ok() => return Some(answer),
                // The answer to an earlier DELETE was lost: the program is ended.
                Ok(answer) if answer.kind == Some(error::Kind::ProgramEnded) => {
                    return (method == "DELETE").then_some(answer);
                }
                _ => {}
            }
        }
        next += 1;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
    None
}
