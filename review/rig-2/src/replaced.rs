//! A replica is replaced, and its successor is killed right after it has put itself on the member list. Seconds
//! later, as a final fault, another replica loses its disk.
//!
//! `TROUBLE=0`: no disruption. `TROUBLE=no-kill`: all but the kill of the successor.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fw_platform_fake::worker::{Reply, Worker};
use serde_json::json;

use crate::http;
use crate::system::System;

/// Workers of each of the two services.
const WORKERS: usize = 16;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// One program begins at each entry in this time.
const PROGRAM_EVERY: Duration = Duration::from_millis(60);
const RECOVERY: Duration = Duration::from_secs(12);

#[derive(Debug)]
struct Turn {
    at: Instant,
    id: String,
    status: u16,
    note: String,
}

pub async fn run(trouble: &str, path: &Path) -> Option<bool> {
    let config = json!({
        "version": 3,
        "routes": [{"name": "draft", "host": "a.example", "path_prefix": "/draft/", "kind": "stream", "timeout_ms": 3000, "target_latency_ms": 200, "priority": 1, "max_attempts": 1, "service": "agents", "retains_context": true, "retention_s": 60.0, "sticky": true, "target_gap_ms": 150},
            {"name": "status", "host": "a.example", "path_prefix": "/status/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 150, "priority": 2, "max_attempts": 2, "service": "portal"}],
        "services": [{"name": "agents", "health_path": "/healthz", "max_conns": 150, "engine": {"slots": 12, "kv_capacity": 169662, "tokens_per_event": 11}}, {"name": "portal", "health_path": "/healthz", "max_conns": 96}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    });
    let mut listed = BTreeMap::new();
    let mut workers = Vec::new();
    for index in 0..2 * WORKERS {
        let reply = match index < WORKERS {
            true => Reply::Echo(4, Duration::from_millis(15)),
            false => Reply::Whole(200, "status"),
        };
        let worker = Worker::start(reply).await;
        listed.insert(format!("w{index}"), entry(&worker, index, 1));
        workers.push(worker);
    }
    let mut system = System::start(2, 260, &config, &listed).await;
    let record = system.record.clone();
    heartbeats(&system, &workers);
    let stop = Arc::new(AtomicBool::new(false));
    let turns: Arc<Mutex<Vec<Turn>>> = Arc::default();
    let fronts = system.entries.iter().map(|entry| entry.front).enumerate();
    let callers: Vec<_> = fronts
        .map(|(number, front)| {
            tokio::spawn(programs(
                number,
                front,
                Arc::clone(&turns),
                Arc::clone(&stop),
            ))
        })
        .collect();
    system.run_for(Duration::from_secs(3)).await;
    record.add(format!("members: {}", system.members()));
    if trouble != "0" {
        system.remove_replica(2);
        system.run_for(Duration::from_secs(1)).await;
        record.add("its successor, store-6, comes with an empty disk");
        system.add(5, true, false);
        let until = Instant::now() + Duration::from_secs(15);
        while !system.members().contains("store-6") {
            if Instant::now() > until {
                record.add("the successor never joined");
                record.write(path);
                return None;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        record.add(format!("members: {}", system.members()));
        if trouble != "no-kill" {
            record.add("the process that last wrote to the store under a condition is killed");
            system.kill_replica(3, Some(Duration::from_millis(500)), false);
        }
    }
    system.run_for(Duration::from_secs(25)).await;
    record.add(format!("members: {}", system.members()));
    let before = count(
        &turns,
        Instant::now() - Duration::from_secs(8),
        &record,
        "the 8 s before the final fault",
    );
    if trouble != "0" {
        record.add("final fault: store-1 loses its disk");
        system.kill_replica(0, Some(Duration::from_millis(1_000)), true);
        system.run_for(Duration::from_millis(1_500)).await;
    }
    let back = Instant::now();
    system.run_for(RECOVERY).await;
    count(&turns, back, &record, "the time for recovery");
    let judged = Instant::now();
    system.run_for(Duration::from_secs(8)).await;
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    record.add(format!("members: {}", system.members()));
    let after = count(&turns, judged, &record, "the 8 s after it");
    let held = after >= 0.25 || before < 0.25;
    let ends: usize = system
        .replicas
        .iter()
        .chain(&system.entries)
        .map(|process| process.ends.len())
        .sum();
    record.add(format!("ends that nobody asked for: {ends}"));
    record.add(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    record.turns(&turns.lock().unwrap(), &workers);
    record.write(path);
    if before < 0.25 {
        return None;
    }
    Some(held)
}

impl crate::system::Record {
    /// Each turn that was sent: when, how it was answered, and the workers that ran it.
    fn turns(&self, turns: &[Turn], workers: &[Worker]) {
        let mut ran = BTreeMap::<String, Vec<String>>::new();
        for (index, worker) in workers.iter().enumerate() {
            for request in worker.requests() {
                let id = request
                    .headers
                    .get("x-request-id")
                    .cloned()
                    .unwrap_or_default();
                ran.entry(id).or_default().push(format!("w{index}"));
            }
        }
        for turn in turns {
            let by = ran
                .get(&turn.id)
                .map_or("no worker".to_owned(), |by| by.join(" "));
            let note = if turn.status == 200 {
                "whole"
            } else {
                &turn.note
            };
            let at = self.since_start(turn.at);
            self.add(format!(
                "sent at {at:.3} s: {}; answered {} {note}; run by {by}",
                turn.id, turn.status
            ));
        }
    }
}

fn entry(worker: &Worker, index: usize, seq: u64) -> serde_json::Value {
    let service = if index < WORKERS { "agents" } else { "portal" };
    json!({
        "service": service, "address": worker.addr.to_string(), "zone": "z0", "version": "v1", "slots": 12,
        "state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": 1_700_000_000_000_u64
    })
}

/// Each worker writes its entry every [`HEARTBEAT`].
fn heartbeats(system: &System, workers: &[Worker]) {
    let workers_len = workers.len() as u32;
    for (index, worker) in workers.iter().enumerate() {
        let (store, worker) = (system.store.clone(), worker.clone());
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT * index as u32 / workers_len).await;
            for seq in 2.. {
                store.put(
                    &format!("servers/w{index}"),
                    entry(&worker, index, seq).to_string().as_bytes(),
                );
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
    }
}

/// Share of the turns sent since `since` that were served.
fn count(
    turns: &Mutex<Vec<Turn>>,
    since: Instant,
    record: &crate::system::Record,
    what: &str,
) -> f64 {
    let turns = turns.lock().unwrap();
    let sent: Vec<_> = turns.iter().filter(|turn| turn.at >= since).collect();
    let served = sent.iter().filter(|turn| turn.status == 200).count();
    let mut by_status = BTreeMap::<u16, usize>::new();
    for turn in &sent {
        *by_status.entry(turn.status).or_default() += 1;
    }
    record.add(format!(
        "turns sent in {what}: {} , served {served}, by status {by_status:?}",
        sent.len()
    ));
    served as f64 / sent.len().max(1) as f64
}

/// Programs begin at one entry independently of each other, one in [`PROGRAM_EVERY`].
async fn programs(
    front_number: usize,
    front: SocketAddr,
    turns: Arc<Mutex<Vec<Turn>>>,
    stop: Arc<AtomicBool>,
) {
    let mut running = tokio::task::JoinSet::new();
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        number += 1;
        running.spawn(program(
            format!("{front_number}-{number}"),
            front,
            Arc::clone(&turns),
        ));
        while running.try_join_next().is_some() {}
        tokio::time::sleep(PROGRAM_EVERY).await;
    }
    running.join_all().await;
}

/// A program of three turns, one after the other, each once the caller has heard the one before.
async fn program(name: String, front: SocketAddr, turns: Arc<Mutex<Vec<Turn>>>) {
    let mut previous = None::<String>;
    for turn in 0..3 {
        let id = format!("t{name}-{turn}");
        let line = previous
            .as_ref()
            .map_or(String::new(), |id| format!("X-Previous-Turn: {id}\r\n"));
        let body = format!("input of {id};");
        let request = format!(
            "POST /draft/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {id}\r\nX-Request-Deadline-Ms: 3000\r\nX-Program-Id: p{name}\r\nX-Session-Id: s{name}\r\nX-Program-Deadline-Ms: 9000\r\nX-Token-Budget: 400\r\nX-Token-Count: 60,44\r\n{line}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let at = Instant::now();
        let answer = http::exchange(front, request.as_bytes(), Duration::from_millis(3_500)).await;
        let body = String::from_utf8_lossy(&answer.body);
        let note = if answer.error.is_empty() {
            body.chars().take(120).collect()
        } else {
            answer.error.clone()
        };
        let status = answer.status;
        turns.lock().unwrap().push(Turn {
            at,
            id: id.clone(),
            status,
            note,
        });
        if status != 200 {
            return;
        }
        previous = Some(id);
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}
