//! One program with a very long history: latency of its turns, and memory of each process.

use std::net::SocketAddr;
use std::time::Instant;

use fw_local::caller;
use serde_json::Value;
use serde_json::json;

use crate::process;

/// Bytes of text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of messages of the history.
const MESSAGE_COUNT: usize = 100;
/// Most tokens of each answer.
const MAX_ANSWER_TOKENS: u64 = 8;

/// Sends a program whose first turn has a history of `tokens`, then a turn that repeats the whole
/// history, then one that sends only its new message; each also directly to the engine at
/// `straight`.
pub async fn run(
    url: SocketAddr,
    straight: SocketAddr,
    processes: &[process::Process],
    tokens: usize,
) {
    let caller = caller::Caller::new();
    let program = format!("large-{}", std::process::id());
    let mut history = messages(tokens);
    let bytes = Value::from(history.clone()).to_string().len();
    println!("\nlarge history: {tokens} tokens, {bytes} bytes in {MESSAGE_COUNT} messages");
    for (turn, what) in [(1, "whole"), (2, "whole"), (3, "delta")] {
        let is_delta = what == "delta";
        let message = json!({ "role": "user", "content": format!("turn {turn}") });
        history.push(message.clone());
        let whole = chat(history.clone(), Vec::new());
        let direct = caller.chat(straight, &whole).await;
        let sent = if is_delta {
            vec![message]
        } else {
            history.clone()
        };
        let headers = vec![
            ("x-program", program.clone()),
            ("x-turn", turn.to_string()),
            (
                "x-history",
                if is_delta { "delta" } else { "full" }.to_owned(),
            ),
        ];
        let before: Vec<_> = processes.iter().map(before).collect();
        let started = Instant::now();
        let answer = caller.chat(url, &chat(sent, headers)).await;
        let took = started.elapsed();
        println!(
            "turn {turn} {what}: {took:.1?} through, {:.1?} straight; status {} ok {} {}",
            direct.took,
            answer.status,
            answer.is_ok(),
            if answer.is_ok() { "" } else { &answer.text }
        );
        for (process, before) in processes.iter().zip(before) {
            println!(
                "  {:<12} before {before:7.1} MiB  peak {:7.1} MiB  after {:7.1} MiB",
                process.name,
                process.peak(),
                process.resident()
            );
        }
        if !answer.is_ok() {
            return;
        }
        history.push(answer.message());
    }
}

fn before(process: &process::Process) -> f64 {
    if !process.reset_peak() {
        println!("  {}: the peak cannot be reset", process.name);
    }
    process.resident()
}

fn chat(messages: Vec<Value>, headers: Vec<(&'static str, String)>) -> caller::Chat {
    caller::Chat {
        messages,
        stream: true,
        max_tokens: Some(MAX_ANSWER_TOKENS),
        headers,
        ..caller::Chat::default()
    }
}

fn messages(tokens: usize) -> Vec<Value> {
    let bytes = tokens * BYTES_PER_TOKEN / MESSAGE_COUNT;
    let message = |n: usize| {
        let role = if n.is_multiple_of(2) {
            "user"
        } else {
            "assistant"
        };
        let mut content = format!("message {n}:");
        while content.len() + 40 < bytes {
            content.push_str(" the draft\nof \"page\" seven");
        }
        json!({ "role": role, "content": content })
    };
    (0..MESSAGE_COUNT).map(message).collect()
}
