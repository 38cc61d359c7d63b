//! A store machine is gone for good, an empty one comes at another address, and its process is killed while it
//! takes the other's place.
//!
//! Rule RECOVER: of the requests sent later than `recovery_s` after the machines are back, a quarter has to be
//! served, if a quarter was before the final fault.

use std::time::Duration;

use super::config;
use crate::client::{self, Answer, Request};
use crate::deployment::{Deployment, Options};
use crate::record::Record;
use crate::{Failure, Outcome, worker};

/// Turns that are stored before, and the length of each one's input, as on the sheets.
const TURNS: usize = 1_500;
const INPUT_BYTES: usize = 4_300;
/// Clients that send them.
const CLIENTS: usize = 15;
/// Time from the new machine's place on the list to the end of its process; `KILL_AFTER_MS` in the environment
/// sets another.
const KILL_AFTER: Duration = Duration::ZERO;
/// `recovery_s`, and a second more.
const RECOVERY: Duration = Duration::from_secs(13);
const JUDGED: Duration = Duration::from_secs(30);
/// How long a killed process is away.
const DOWN: Duration = Duration::from_millis(500);

fn turn(id: &str, program: &str, previous: Option<&str>, body: Vec<u8>) -> Request {
    let mut headers = vec![
        ("X-Program-Id", program.to_owned()),
        ("X-Session-Id", format!("s{program}")),
        ("X-Program-Deadline-Ms", "100000".to_owned()),
        ("X-Token-Budget", "20000".to_owned()),
        ("X-Token-Count", "1000,100".to_owned()),
    ];
    if let Some(previous) = previous {
        headers.push(("X-Previous-Turn", previous.to_owned()));
    }
    Request {
        id: id.to_owned(),
        path: "/turns/x".to_owned(),
        headers,
        body,
        deadline: Duration::from_secs(3),
    }
}

pub async fn run(trouble: bool, record: &Record) -> Result<Outcome, Failure> {
    let kill_after = match std::env::var("KILL_AFTER_MS") {
        Ok(text) => Duration::from_millis(text.parse()?),
        Err(_) => KILL_AFTER,
    };
    let opts = Options {
        config: config(60.0, false),
        workers: 3,
        entries: 3,
        streams: worker::Options {
            events: 4,
            pause: Duration::from_millis(10),
        },
    };
    let mut deployment = Deployment::start(opts, record).await?;
    let fronts: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| entry.front())
        .collect();
    let mut clients = Vec::new();
    for client_number in 0..CLIENTS {
        let (front, record) = (fronts[client_number % fronts.len()], record.clone());
        clients.push(tokio::spawn(async move {
            let mut served: Vec<(String, String)> = Vec::new();
            for number in 0..TURNS / CLIENTS {
                let program = format!("p{client_number}-{number}");
                let id = format!("first-{program}");
                let answer = client::send(
                    front,
                    &turn(&id, &program, None, vec![b'x'; INPUT_BYTES]),
                    &record,
                )
                .await;
                if answer.is_success() {
                    served.push((id, program));
                }
            }
            served
        }));
    }
    let mut stored = Vec::new();
    for client in clients {
        stored.extend(client.await?);
    }
    record.line(&format!(
        "{} of {TURNS} turns were answered whole",
        stored.len()
    ));
    if stored.len() * 4 < TURNS {
        return Err("less than a quarter was served before the disruption".into());
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    if trouble {
        record.line("disruption: store-hall-a-1 is gone for good, an empty machine comes");
        deployment
            .replace_replica(0, Duration::from_secs(1))
            .await?;
        let joining = async {
            while !deployment.member_list().contains("store-hall-a-2") {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(Duration::from_secs(15), joining)
            .await
            .map_err(|_| "the new machine does not join")?;
        tokio::time::sleep(kill_after).await;
        record.line("disruption, the final fault: the process on the new machine is killed");
        deployment.restart_replica(0, DOWN).await?;
    }
    tokio::time::sleep(RECOVERY).await;
    deployment.check_running()?;
    record.line("the machines are back for longer than recovery_s: requests count from here on");
    let until = record.now() + JUDGED;
    let (mut sent, mut served, mut number) = (0, 0, 0);
    while record.now() < until {
        let (previous, program) = &stored[number * 7 % stored.len()];
        let next = turn(
            &format!("next-{number}"),
            program,
            Some(previous),
            b"and then".to_vec(),
        );
        let new = turn(
            &format!("new-{number}"),
            &format!("new{number}"),
            None,
            b"a new program".to_vec(),
        );
        for request in [next, new] {
            let answer: Answer =
                client::send(fronts[number % fronts.len()], &request, record).await;
            sent += 1;
            served += usize::from(answer.is_success());
        }
        number += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    record.line(&format!("member list: {}", deployment.member_list()));
    record.line(&format!(
        "later than recovery_s after it: {served} of {sent} requests were served"
    ));
    deployment.check_running()?;
    Ok(if served * 4 < sent {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
