//! All replicas are stopped and started in turn while long streams are under way; later the entry that forwards
//! the streams is killed, and the clients take the streams up at another one.
//!
//! Rule LOST: of 12 or more streams that clients take up again at machines in touch, the share that goes on may not
//! be under half of the share of new streams that begin.

use std::time::Duration;

use super::config;
use crate::client::{self, Request};
use crate::deployment::{Deployment, Options};
use crate::record::Record;
use crate::{Failure, Outcome, worker};

const STREAMS: usize = 14;
const EVENTS: u32 = 60;
const EVENT_TIME: Duration = Duration::from_millis(400);
/// `contact_ms`, and more: the core is stable again, and calm machines are in touch.
const CONTACT: Duration = Duration::from_millis(4_500);

fn stream(id: String, more: Vec<(&'static str, String)>) -> Request {
    let mut headers = vec![("X-Token-Count", "1000,660".to_owned())];
    headers.extend(more);
    let body = b"a long question".to_vec();
    Request {
        id,
        path: "/turns/x".to_owned(),
        headers,
        body,
        deadline: Duration::from_secs(60),
    }
}

pub async fn run(trouble: bool, record: &Record) -> Result<Outcome, Failure> {
    let mut config = config(60.0, true);
    config["routes"][0]["timeout_ms"] = 60_000.into();
    config["routes"][0]["retains_context"] = false.into();
    let streams = worker::Options {
        events: EVENTS,
        pause: EVENT_TIME,
    };
    let opts = Options {
        config,
        workers: 3,
        entries: 3,
        streams,
    };
    let mut deployment = Deployment::start(opts, record).await?;
    let fronts: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| entry.front())
        .collect();
    let first: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (front, record) = (fronts[0], record.clone());
            tokio::spawn(async move {
                client::send(
                    front,
                    &stream(format!("first-{number}"), Vec::new()),
                    &record,
                )
                .await
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    if trouble {
        for index in 0..3 {
            record.line("planned work: a store machine is stopped and started");
            deployment.stop_and_start_replica(index).await?;
            tokio::time::sleep(Duration::from_millis(1_300)).await;
        }
    }
    tokio::time::sleep(CONTACT).await;
    record.line("front-hall-a-1 is killed");
    deployment.kill_entry(0).await?;
    let (mut taken_up, mut went_on) = (0, 0);
    for (number, first) in first.into_iter().enumerate() {
        let answer = first.await?;
        let Some(last) = answer.events.last().filter(|_| !answer.is_complete) else {
            return Err("a stream did not break in its middle".into());
        };
        taken_up += 1;
        for attempt in 0..3 {
            let more = vec![
                ("Last-Event-Id", last.id.clone()),
                ("Resumes", format!("first-{number}")),
            ];
            let mut request = stream(format!("again-{number}-{attempt}"), more);
            // Long enough to see whether it goes on.
            request.deadline = Duration::from_secs(1);
            let answer = client::send(fronts[1], &request, record).await;
            if !answer.events.is_empty() {
                went_on += 1;
                break;
            }
            tokio::time::sleep(
                answer
                    .retry_after
                    .unwrap_or_default()
                    .min(Duration::from_secs(1)),
            )
            .await;
        }
    }
    let mut began = 0;
    for number in 0..STREAMS {
        let mut request = stream(format!("new-{number}"), Vec::new());
        request.deadline = Duration::from_secs(1);
        began += usize::from(
            !client::send(fronts[1], &request, record)
                .await
                .events
                .is_empty(),
        );
    }
    record.line(&format!(
        "{went_on} of {taken_up} streams went on; {began} of {STREAMS} new streams began"
    ));
    deployment.check_running()?;
    Ok(if went_on * 2 < began {
        Outcome::Broken
    } else {
        Outcome::Held
    })
}
