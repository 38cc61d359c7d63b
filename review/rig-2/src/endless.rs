//! A worker of the plain service sends bodies without end; entries must outlive it.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::http;
use crate::system::{End, System};
use crate::worker::{Trouble, Worker};

const WORKERS: usize = 4;
const ENTRIES: usize = 2;
const MEMORY_MB: u64 = 96;
/// How long workers are in trouble at a time, and how long they are sound then.
const TROUBLE_SPAN: Duration = Duration::from_secs(5);
const TROUBLE_PAUSE: Duration = Duration::from_millis(500);

struct Sent {
    id: String,
    entry: usize,
    at: Instant,
    answer: http::Answer,
}

pub async fn run(trouble: bool, path: &Path) -> Option<bool> {
    let env = |name: &str, default: u64| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let (chunk, one_in) = (env("CHUNK", 1) as usize, env("ONE_IN", 34));
    let spoiled = Trouble::EndlessBody {
        status: 200,
        chunk: vec![b'x'; chunk],
    };
    let mut workers = Vec::new();
    for index in 0..WORKERS {
        let name = format!("w{index}");
        workers
            .push(Worker::start(&name, Duration::from_millis(30), spoiled.clone(), one_in).await);
    }
    let config = json!({
        "version": 3,
        "routes": [
            {"name": "booking", "host": "a.example", "path_prefix": "/booking/", "kind": "unsafe", "timeout_ms": 6000, "target_latency_ms": 800, "priority": 2, "max_attempts": 1, "service": "portal"},
            {"name": "status", "host": "a.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "max_attempts": 2, "service": "portal"}
        ],
        "services": [{"name": "portal", "health_path": "/healthz", "max_conns": 96}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    });
    let listed: BTreeMap<_, _> = workers
        .iter()
        .map(|worker| (worker.name.clone(), worker.entry("portal")))
        .collect();
    let mut system = System::start(ENTRIES, MEMORY_MB, &config, &listed).await;
    let record = system.record.clone();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let fronts: Vec<_> = system.entries.iter().map(|entry| entry.front).collect();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let callers = spawn_callers(&fronts, &sent, &stop, env("PAUSE_MS", 100));
    system.run_for(Duration::from_secs(3)).await;
    if sent
        .lock()
        .unwrap()
        .iter()
        .filter(|sent| sent.answer.status == 200)
        .count()
        < 20
    {
        record.add("the system doesn't serve");
        record.write(path);
        return None;
    }
    let sick = env("SICK", 2) as usize;
    let until = Instant::now() + Duration::from_secs(env("TROUBLE_S", 88));
    while Instant::now() < until {
        record.add(format!("{sick} of {WORKERS} workers in trouble: {trouble}"));
        for worker in &workers[..sick] {
            worker.in_trouble.store(trouble, Ordering::Relaxed);
        }
        system.run_for(TROUBLE_SPAN).await;
        for worker in &workers {
            worker.in_trouble.store(false, Ordering::Relaxed);
        }
        system.run_for(TROUBLE_PAUSE).await;
    }
    record.add("all workers are sound again");
    system.run_for(Duration::from_secs(4)).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    for worker in &workers {
        for run in worker
            .runs
            .lock()
            .unwrap()
            .values()
            .filter(|run| run.endless_bytes > 0)
        {
            record.add(format!(
                "{}: {} got {} bytes without end",
                worker.name, run.id, run.endless_bytes
            ));
        }
    }
    let mut often = 0;
    for (index, entry) in system.entries.iter().enumerate() {
        let sent = sent.lock().unwrap();
        let sent: Vec<_> = sent.iter().filter(|sent| sent.entry == index).collect();
        let ok = sent.iter().filter(|sent| sent.answer.status == 200).count();
        let none = sent.iter().filter(|sent| sent.answer.status == 0).count();
        record.add(format!(
            "{}: {} requests, {ok} served, {none} without a whole answer; most memory {} KiB of {}; ends {:?}",
            entry.name, sent.len(), entry.peak_kib, MEMORY_MB << 10, entry.ends
        ));
        often += usize::from(entry.ends.len() >= 3);
    }
    let replicas: usize = system
        .replicas
        .iter()
        .map(|replica| replica.ends.len())
        .sum();
    let memory: usize = system
        .entries
        .iter()
        .flat_map(|entry| &entry.ends)
        .filter(|end| **end == End::Memory)
        .count();
    record.add(format!("entries that ended by themselves three times or more: {often}; ends for memory: {memory}; ends of replicas: {replicas}"));
    let held = often < 2;
    record.add(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    let mut ran = BTreeMap::<String, Vec<String>>::new();
    for worker in &workers {
        for run in worker.runs.lock().unwrap().values() {
            ran.entry(run.id.clone())
                .or_default()
                .push(worker.name.clone());
        }
    }
    for sent in sent.lock().unwrap().iter() {
        let by = ran
            .get(&sent.id)
            .map_or("no worker".to_owned(), |by| by.join(" "));
        let at = record.since_start(sent.at);
        let (status, error) = (sent.answer.status, &sent.answer.error);
        record.add(format!(
            "sent at {at:.3} s: {} to front-{}; answered {status} {error}; run by {by}",
            sent.id,
            sent.entry + 1
        ));
    }
    record.write(path);
    Some(held)
}

/// Callers of both routes at both entries: one request in 100 ms each.
fn spawn_callers(
    fronts: &[std::net::SocketAddr],
    sent: &Arc<Mutex<Vec<Sent>>>,
    stop: &Arc<std::sync::atomic::AtomicBool>,
    pause_ms: u64,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mut callers = Vec::new();
    for (entry, front) in fronts.iter().copied().enumerate() {
        for caller in 0..2 {
            let (sent, stop) = (Arc::clone(sent), Arc::clone(stop));
            callers.push(tokio::spawn(async move {
                let mut calls = Vec::new();
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    number += 1;
                    let id = format!("{entry}-{caller}-{number}");
                    let sent = Arc::clone(&sent);
                    calls.push(tokio::spawn(async move {
                        let (method, path, deadline) = match caller {
                            0 => ("POST", "/booking/1", 6000),
                            _ => ("GET", "/status/1", 1200),
                        };
                        let request = format!("{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: {deadline}\r\nContent-Length: 0\r\n\r\n");
                        let at = Instant::now();
                        let answer = http::exchange(front, request.as_bytes(), Duration::from_millis(deadline + 500)).await;
                        sent.lock().unwrap().push(Sent { id, entry, at, answer });
                    }));
                }
                for call in calls {
                    let _ = call.await;
                }
            }));
        }
    }
    callers
}
