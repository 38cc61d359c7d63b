//! An entry is killed while programs are under way whose first turns are older than their retention.
//!
//! Rule LOST: a turn that names one answered whole less than `retention_s` ago may not be answered 404 or 410. A
//! turn is kept together with its chain.

use std::time::Duration;

use super::config;
use crate::client::{self, Request};
use crate::deployment::{Deployment, Options};
use crate::record::Record;
use crate::{Failure, Outcome, worker};

const RETENTION: Duration = Duration::from_secs(15);
/// Time from one turn of a program to the next, well below the retention.
const PAUSE: Duration = Duration::from_secs(6);
/// Turns of each program before the disruption: 84 s.
const TURNS: usize = 15;
const PROGRAMS: usize = 5;

fn turn(id: &str, program: usize, previous: Option<&str>) -> Request {
    let mut headers = vec![
        ("X-Program-Id", format!("p{program}")),
        ("X-Session-Id", format!("s{program}")),
        ("X-Program-Deadline-Ms", "120000".to_owned()),
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
        body: format!("input of {id}\n").into_bytes(),
        deadline: Duration::from_secs(3),
    }
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
    // Clients keep to one entry as long as it is there.
    let mut last: Vec<Option<(String, Duration)>> = vec![None; PROGRAMS];
    for number in 0..TURNS {
        if number > 0 {
            tokio::time::sleep(PAUSE).await;
        }
        for (program, last) in last.iter_mut().enumerate() {
            let previous = last.as_ref().map(|(id, _)| id.as_str());
            let request = turn(&format!("turn-{program}-{number}"), program, previous);
            let front = deployment.entries[0].front();
            let (id, answer) = client::send_again(front, &request, record).await;
            if !answer.is_success() {
                return Err(format!("{} failed before the disruption", request.id).into());
            }
            *last = Some((id, record.now()));
        }
    }
    if trouble {
        record.line("disruption: front-1 is killed, and starts again");
        deployment.kill_entry(0).await?;
        tokio::time::sleep(Duration::from_secs(1)).await;
        deployment.start_entry(0).await?;
    }
    // In touch again, in the rules' sense.
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    // `NEXT_ENTRY` in the environment sends the next turns through another entry: 1 or 2.
    let entry = match std::env::var("NEXT_ENTRY") {
        Ok(text) => text.parse()?,
        Err(_) => 0,
    };
    let front = deployment
        .entries
        .get(entry)
        .ok_or("there is no such entry")?
        .front();
    let (mut lost, mut served, mut others) = (0, 0, 0);
    for (program, last) in last.iter().enumerate() {
        let Some((previous, ended)) = last else {
            continue;
        };
        let mut status = 0;
        for attempt in 0..3 {
            let request = turn(
                &format!("next-{program}-{attempt}"),
                program,
                Some(previous),
            );
            let answer = client::send(front, &request, record).await;
            status = if answer.status == 200 && !answer.is_complete {
                0
            } else {
                answer.status
            };
            if !matches!(status, 429 | 503) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        let age = record.now().saturating_sub(*ended);
        record.line(&format!(
            "program {program}: status {status}, {age:?} after the turn that it continues"
        ));
        if age >= RETENTION {
            return Err("the turns came too late to be judged".into());
        }
        match status {
            404 | 410 => lost += 1,
            200 => served += 1,
            _ => others += 1,
        }
    }
    record.line(&format!(
        "{lost} answered 404 or 410, {served} served, {others} with other ends"
    ));
    deployment.check_running()?;
    if lost == 0 && served == 0 {
        return Err("no turn was judged".into());
    }
    Ok(if lost > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
