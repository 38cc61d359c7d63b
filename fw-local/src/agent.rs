//! An agent program as a caller runs it: turns that depend on each other, tool pauses, and calls to
//! tools that must not run twice.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use serde_json::Value;
use serde_json::json;

use crate::caller;

/// What a program does.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its name.
    pub program: String,
    /// Turns until it is done.
    pub turns: u32,
    /// Words of its first message.
    pub words: usize,
    /// Words of each further message.
    pub more_words: usize,
    /// Pause between turns, as for a tool.
    pub pause: Duration,
    /// Most tokens of an answer.
    pub answer: u64,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Send only the new messages of a turn.
    pub delta: bool,
    /// Path of a tool that is called, with an idempotency key, after each turn.
    pub tool: Option<String>,
    /// Times that a turn or tool call is sent again after an error that allows it.
    pub retries: u32,
    /// End the program when it is done.
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

/// How a program went.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Turns answered whole.
    pub turns: u32,
    /// Whether all turns were answered.
    pub finished: bool,
    /// Time from the first turn to the last answer.
    pub took: Duration,
    /// Prompt tokens.
    pub prompt: u64,
    /// Prompt tokens that came from a cache.
    pub cached: u64,
    /// Prompt tokens that an earlier turn had put into some cache.
    pub reusable: u64,
    /// Times to the first token.
    pub first: Vec<Duration>,
    /// Errors met, in order.
    pub errors: Vec<error::Kind>,
    /// Keys of the tool calls that were answered.
    pub tool_keys: Vec<String>,
    /// The history as the caller holds it.
    pub history: Vec<Value>,
}

/// Runs a program against entries at `addrs`, going on to the next one after an error.
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
    /// Tokens that the last turn left in a cache.
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

    /// Calls the tool once for each turn, under a key that names both.
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

    /// After an error: whether the call may be sent again, to the next entry, and when.
    async fn prepare_retry(&mut self, answer: &caller::Answer) -> bool {
        self.outcome.errors.extend(answer.kind);
        self.next += 1;
        // A broken connection without any answer may be tried again: turns and keys are idempotent.
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

/// Text that differs from program to program and from turn to turn.
pub fn text(program: &str, turn: u32, words: usize) -> String {
    let mut text = format!("{program} turn {turn}:");
    for word in 0..words {
        text.push_str(&format!(" w{word}"));
    }
    text
}
