//! A replica loses its disk while the platform's store refuses all calls; a second one loses its disk once the first
//! counts as caught up, `contact_ms` and `catch_up_s` after the store is back. From an entry of KNOWN-RED.txt.
//!
//! With `OUTSIDE=1` the second disk is lost while the store is still away, which the pages do not allow: the first
//! machine counts as lost until then.

use std::time::Duration;

use super::config;
use crate::client::{self, Answer, Request};
use crate::deployment::{Deployment, Options};
use crate::record::Record;
use crate::{Failure, Outcome, worker};

/// Turns that are stored before the disruption.
const TURNS: usize = 64;
const RETENTION: Duration = Duration::from_secs(60);
/// How long the store is away.
const OUTAGE: Duration = Duration::from_millis(5_000);
/// `contact_ms` and `catch_up_s`, and a second more.
const CATCH_UP: Duration = Duration::from_secs(10);
/// `recovery_s`, and a second more.
const RECOVERY: Duration = Duration::from_secs(13);
/// How long requests are sent after it.
const JUDGED: Duration = Duration::from_secs(20);
/// How long a machine is away when it loses its disk.
const DOWN: Duration = Duration::from_secs(1);

fn turn(id: &str, program: &str, previous: Option<&str>, body: Vec<u8>) -> Request {
    let mut headers = vec![
        ("X-Program-Id", program.to_owned()),
        ("X-Session-Id", format!("s{program}")),
        ("X-Program-Deadline-Ms", "100000".to_owned()),
        ("X-Token-Budget", "5000".to_owned()),
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

/// Sends a turn, once more after a promise that it has not run, as the next attempt and through the other entry.
async fn send_turn(
    deployment: &Deployment,
    mut request: Request,
    record: &Record,
) -> (String, Answer) {
    let name = request.id.clone();
    request.id = format!("{name}.0");
    let answer = client::send(deployment.entries[0].front(), &request, record).await;
    if !matches!(answer.status, 429 | 503) {
        return (request.id, answer);
    }
    let pause = answer
        .retry_after
        .unwrap_or_default()
        .min(Duration::from_secs(1));
    tokio::time::sleep(pause.max(Duration::from_millis(100))).await;
    request.id = format!("{name}.1");
    let answer = client::send(deployment.entries[1].front(), &request, record).await;
    (request.id, answer)
}

/// Requests that were sent, and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn add(&mut self, answer: &Answer) {
        self.sent += 1;
        self.served += usize::from(answer.is_success());
    }

    fn is_under_a_quarter(self) -> bool {
        self.served * 4 < self.sent
    }
}

/// Continues program `number % TURNS` from its first turn, and begins another program.
async fn probe(
    deployment: &Deployment,
    stored: &[String],
    number: usize,
    count: &mut Count,
    record: &Record,
) {
    let program = number % stored.len();
    let next = turn(
        &format!("next-{number}"),
        &format!("p{program}"),
        Some(&stored[program]),
        b"and then".to_vec(),
    );
    count.add(&send_turn(deployment, next, record).await.1);
    let new = turn(
        &format!("new-{number}"),
        &format!("new{number}"),
        None,
        b"a new program".to_vec(),
    );
    count.add(&send_turn(deployment, new, record).await.1);
}

pub async fn run(trouble: bool, record: &Record) -> Result<Outcome, Failure> {
    let opts = Options {
        config: config(RETENTION.as_secs_f64(), false),
        workers: 3,
        entries: 3,
        streams: worker::Options {
            events: 4,
            pause: Duration::from_millis(10),
        },
    };
    let mut deployment = Deployment::start(opts, record).await?;
    let mut before = Count::default();
    let mut stored = Vec::new();
    for number in 0..TURNS {
        let input = format!("input {number} ").into_bytes();
        let body: Vec<u8> = input.iter().copied().cycle().take(2_000).collect();
        let request = turn(
            &format!("first-{number}"),
            &format!("p{number}"),
            None,
            body,
        );
        let front = deployment.entries[0].front();
        let (id, answer) = client::send_again(front, &request, record).await;
        before.add(&answer);
        if answer.is_success() {
            stored.push(id);
        }
    }
    if stored.len() < TURNS {
        return Err("not all turns were answered whole before the disruption".into());
    }
    // A moment in which copies reach all members.
    tokio::time::sleep(Duration::from_secs(2)).await;
    for number in 0..4 {
        probe(&deployment, &stored, number, &mut before, record).await;
    }
    let is_outside = std::env::var("OUTSIDE").is_ok();
    if trouble {
        deployment.refuse_store_calls(true);
        record.line("disruption: store-hall-a-1 loses its disk");
        deployment.lose_disk(0, DOWN).await?;
        tokio::time::sleep(OUTAGE - DOWN).await;
        if is_outside {
            record.line("disruption, the final fault: store-hall-b-1 loses its disk");
            deployment.lose_disk(1, DOWN).await?;
        }
        deployment.refuse_store_calls(false);
        tokio::time::sleep(CATCH_UP).await;
        if !is_outside {
            record.line("disruption, the final fault: store-hall-b-1 loses its disk");
            deployment.lose_disk(1, DOWN).await?;
        }
    }
    tokio::time::sleep(RECOVERY).await;
    deployment.check_running()?;
    record.line("the machines are back for longer than recovery_s: requests count from here on");
    let until = record.now() + JUDGED;
    let mut after = Count::default();
    let mut number = 100;
    while record.now() < until {
        probe(&deployment, &stored, number, &mut after, record).await;
        tokio::time::sleep(Duration::from_millis(200)).await;
        number += 1;
    }
    record.line(&format!("later than recovery_s after it: {after:?}"));
    deployment.check_running()?;
    Ok(if after.is_under_a_quarter() {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
