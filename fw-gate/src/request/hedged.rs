//! One attempt that may be made at two upstreams at once.
//!
//! *Load pattern:* a program waits for several plain answers at once, and one of the upstreams has just become
//! contended.
//!
//! *Without it:* the whole program waits for that upstream.
//!
//! *Rule:* a plain request that may be repeated is sent to a second upstream once it has taken longer than all but
//! a few of the service's calls, relative to the expected factor of its upstream, if the budget allows and the route
//! allows two further upstreams. The first complete answer counts, and the other connection is closed at once.

use fw_base::id;

use super::{attempt, send};
use crate::process::{fleet, quarantine};
use crate::version::config;

/// A failed attempt.
#[derive(Debug)]
pub struct Failed {
    /// Its failure.
    pub failure: send::Failure,
    /// The upstream that it was sent to.
    pub upstream: id::UpstreamId,
    /// State of the list when that was chosen.
    pub list_state: fleet::ListState,
}

/// A finished attempt, with its permit.
type Finished<T> = Result<(T, quarantine::Permit), Failed>;

/// Makes one attempt at the upstream of `lease`, and perhaps a second one at another upstream. A failure of one
/// of two is added to `attempts`.
///
/// # Errors
///
/// When no attempt has an answer that `finish` accepts.
pub async fn run<T, F>(
    job: &attempt::Job<'_>,
    attempts: &mut attempt::Attempts,
    permit: quarantine::Permit,
    lease: fleet::Lease,
    finish: &impl Fn(send::OpenResponse) -> F,
) -> Finished<T>
where
    F: Future<Output = Result<T, send::Failure>>,
{
    if !may_hedge(job, attempts) {
        return run_one(job, permit, lease, finish).await;
    }
    let others = attempts.with_avoided(lease.id.clone());
    let timer = lease.call_timer();
    let first = run_timed(job, permit, lease, finish);
    tokio::pin!(first);
    let Some(after) = timer.hedge_after() else {
        return first.await;
    };
    if let Ok(finished) = tokio::time::timeout(after, &mut first).await {
        return finished;
    }
    if !timer.withdraw_hedge() {
        return first.await;
    }
    let second = run_second(job, &others, finish);
    tokio::pin!(second);
    // Whichever is not finished when this returns is dropped, which closes its connection.
    let finished = tokio::select! {
        finished = &mut first => {
            let failed = match finished {
                Ok(done) => return Ok(done),
                Err(failed) => failed,
            };
            return match second.await {
                Some(finished) => {
                    attempts.add(job, failed);
                    finished
                }
                None => Err(failed),
            };
        }
        finished = &mut second => finished,
    };
    match finished {
        Some(Ok(done)) => {
            timer.record();
            count("used");
            return Ok(done);
        }
        Some(Err(failed)) => attempts.add(job, failed),
        None => {}
    }
    first.await
}

/// Whether the next attempt may be made at two upstreams.
fn may_hedge(job: &attempt::Job<'_>, attempts: &attempt::Attempts) -> bool {
    job.route.kind == config::Kind::Safe
        && job.gate.fleet.features.hedge_plain()
        && attempts.may_have_run + 2 <= job.route.attempts
}

/// Makes an attempt at the upstream of `lease`.
async fn run_one<T, F>(
    job: &attempt::Job<'_>,
    permit: quarantine::Permit,
    lease: fleet::Lease,
    finish: &impl Fn(send::OpenResponse) -> F,
) -> Finished<T>
where
    F: Future<Output = Result<T, send::Failure>>,
{
    let (at, addr, list_state) = (lease.incarnation(), lease.addr, lease.list_state);
    let finished = match job.send(lease).await {
        Ok(response) => finish(response).await,
        Err(failure) => Err(failure),
    };
    let failure = match finished {
        Ok(done) => return Ok((done, permit)),
        Err(failure) => failure,
    };
    if failure.connection_broke {
        job.check_crash(permit, &at, addr).await;
    }
    Err(Failed {
        failure,
        upstream: at.upstream,
        list_state,
    })
}

/// Makes an attempt at the upstream of `lease`, and records how long a successful one takes.
async fn run_timed<T, F>(
    job: &attempt::Job<'_>,
    permit: quarantine::Permit,
    lease: fleet::Lease,
    finish: &impl Fn(send::OpenResponse) -> F,
) -> Finished<T>
where
    F: Future<Output = Result<T, send::Failure>>,
{
    let timer = lease.call_timer();
    let finished = run_one(job, permit, lease, finish).await;
    if finished.is_ok() {
        timer.record();
    }
    finished
}

/// Makes the second attempt; `None` if there is no upstream for it.
async fn run_second<T, F>(
    job: &attempt::Job<'_>,
    others: &attempt::Attempts,
    finish: &impl Fn(send::OpenResponse) -> F,
) -> Option<Finished<T>>
where
    F: Future<Output = Result<T, send::Failure>>,
{
    let permit = job.permit().await.ok()?;
    let lease = job.choose(others, &permit).await.ok()?;
    count("sent");
    Some(run_timed(job, permit, lease, finish).await)
}

fn count(event: &'static str) {
    metrics::counter!("fw_gate_hedged_calls_total", "event" => event).increment(1);
}
