//! An agent program as a caller runs it: turns that each continue the last, pauses for tools, and
//! calls to tools that must run at most once.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use serde_json::Value;
use serde_json::json;

use crate::caller;

/// Parameters of a program.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub program: String,
    /// Number of turns.
    pub turns: u32,
    /// Number of words in the first message.
    pub words: usize,
    /// Number of words in each further message.
    pub more_words: usize,
    /// Pause between turns, as a tool call would cause.
    pub pause: Duration,
    /// Most tokens of an answer.
    pub answer: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Whether each turn sends only its new message.
    pub delta: bool,
    /// Path of a tool that is called with an idempotency key after each turn.
    pub tool: Option<String>,
    /// Most retries of a turn or tool call after retryable errors.
    pub retries: u32,
    /// Whether the program is ended after its last turn.
    pub end: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            program: String::new(),
            turns: 4,
            words: 200,
            more_words: 30,
            pause: Duration::from_millis(50),
            answer: 24,
            stream: true,
            delta: false,
            tool: None,
            retries: 20,
            end: true,
        }
    }
}

/// Result of a program.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of turns answered completely.
    pub turns: u32,
    /// Whether all turns were answered.
    pub finished: bool,
    /// Time from the first turn to the last answer.
    pub took: Duration,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of prompt tokens served from a cache.
    pub cached: u64,
    /// Number of prompt tokens that an earlier turn had put into some cache.
    pub reusable: u64,
    /// Time to the first token of each turn.
    pub first: Vec<Duration>,
    /// Errors received, in order.
    pub errors: Vec<error::Kind>,
    /// Keys of the tool calls that were answered.
    pub tool_keys: Vec<String>,
    /// The history as the caller holds it.
    pub history: Vec<Value>,
}

/// Runs a program against the entries at `addrs`, moving to the next one after an error.
pub async fn run(caller: &caller::Caller, addrs: &[SocketAddr], opts: &Options) -> Outcome {
    let mut agent = Agent {
        caller,
        addrs,
        opts,
        next: 0,
        outcome: Outcome::default(),
        cached_tokens: 0,
    };
    let started = Instant::now();
    for turn in 1..=opts.turns {
        if !agent.turn(turn).await || !agent.tool(turn).await {
            return agent.outcome;
        }
        agent.outcome.took = started.elapsed();
        if turn < opts.turns {
            tokio::time::sleep(opts.pause).await;
        }
    }
    agent.outcome.finished = true;
    if opts.end {
        agent.end().await;
    }
    agent.outcome
}

struct Agent<'a> {
    caller: &'a caller::Caller,
    addrs: &'a [SocketAddr],
    opts: &'a Options,
    next: usize,
    outcome: Outcome,
    /// Number of tokens that the last turn left in a cache.
    cached_tokens: u64,
}

impl Agent<'_> {
    async fn turn(&mut self, turn: u32) -> bool {
        let words = if turn == 1 {
            self.opts.words
        } else {
            self.opts.more_words
        };
        let message = json!({ "role": "user", "content": text(&self.opts.program, turn, words) });
        let mut messages = match self.opts.delta {
            true => Vec::new(),
            false => self.outcome.history.clone(),
        };
        messages.push(message.clone());
        let chat = caller::Chat {
            messages,
            stream: self.opts.stream,
            max_tokens: Some(self.opts.answer),
            headers: self.headers(turn),
            ..caller::Chat::default()
        };
        for _ in 0..=self.opts.retries {
            let answer = self.caller.chat(self.addr(), &chat).await;
            if answer.is_ok() {
                self.record_answer(message, &answer);
                return true;
            }
            if !self.prepare_retry(&answer).await {
                return false;
            }
        }
        false
    }

    fn headers(&self, turn: u32) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("x-program", self.opts.program.clone()),
            ("x-turn", turn.to_string()),
        ];
        if self.opts.delta {
            headers.push(("x-history", "delta".to_owned()));
        }
        headers
    }

    fn record_answer(&mut self, message: Value, answer: &caller::Answer) {
        self.outcome.turns += 1;
        self.outcome.prompt += answer.prompt;
        self.outcome.cached += answer.cached;
        self.outcome.reusable += self.cached_tokens.min(answer.prompt);
        self.outcome.first.push(answer.first);
        self.outcome.history.push(message);
        self.outcome.history.push(answer.message());
        self.cached_tokens = answer.prompt + answer.completion;
    }

    /// Calls the tool once per turn, under an idempotency key made of program and turn.
    async fn tool(&mut self, turn: u32) -> bool {
        let Some(path) = self.opts.tool.clone() else {
            return true;
        };
        let key = format!("{}.{turn}", self.opts.program);
        let headers = [("idempotency-key", key.clone())];
        for _ in 0..=self.opts.retries {
            let body = format!("{{\"publish\":{turn}}}");
            let answer = self
                .caller
                .plain(self.addr(), "POST", &path, &headers, body.into())
                .await;
            if answer.status == 200 && answer.kind.is_none() {
                self.outcome.tool_keys.push(key);
                return true;
            }
            if !self.prepare_retry(&answer).await {
                return false;
            }
        }
        false
    }

    /// Records an error and moves to the next entry. Returns whether the call may be sent again,
    /// after waiting as long as the error requires.
    async fn prepare_retry(&mut self, answer: &caller::Answer) -> bool {
        self.outcome.errors.extend(answer.kind);
        self.next += 1;
        // A connection that broke before any answer may be retried: turns and keyed calls are
        // idempotent.
        let may = answer.kind.is_none_or(|kind| kind.row().retry);
        let after = answer.retry_after.unwrap_or(Duration::from_millis(100));
        if may {
            tokio::time::sleep(after.min(Duration::from_secs(3))).await;
        }
        may
    }

    async fn end(&self) {
        let path = format!("/v1/programs/{}", self.opts.program);
        self.caller
            .plain(self.addr(), "DELETE", &path, &[], "".into())
            .await;
    }

    fn addr(&self) -> SocketAddr {
        self.addrs[self.next % self.addrs.len()]
    }
}

/// Message text that is unique to the program and the turn.
pub fn text(program: &str, turn: u32, words: usize) -> String {
    let mut text = format!("{program} turn {turn}:");
    for word in 0..words {
        text.push_str(&format!(" w{word}"));
    }
    text
}
