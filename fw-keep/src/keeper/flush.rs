//! Commits the changes of all shards together, and takes shards again after a lapsed lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fw_base::id;
use fw_store::kv;
use tokio::time::Instant;

use crate::commit::Commit;
use crate::commit::Reply;
use crate::commit::Step;
use crate::commit::Verdict;
use crate::journal::writer::Job;
use crate::keeper;
use crate::keeper::Inner;
use crate::keeper::acquire;
use crate::keeper::lease::Backoff;
use crate::keeper::slot::Slot;
use crate::shard;

/// Longest random wait before the shards of a lapsed lease are taken again.
const MAX_SPREAD: Duration = Duration::from_millis(500);

/// Changes on their way to the store.
struct Round {
    jobs: Vec<Job>,
    upto: BTreeMap<id::ShardId, shard::Position>,
}

pub(super) async fn run(inner: Arc<Inner>) {
    let mut lease = inner.lease.subscribe();
    let mut pace = Pace::default();
    loop {
        tokio::select! {
            () = inner.dirtied.notified() => {
                if let Some(next) = pace.next(&inner) {
                    // The first change after a quiet time goes at once; those close behind share
                    // the next call. So the rate is bounded and a lone turn need not wait.
                    tokio::time::sleep_until(next).await;
                }
                pace.commit(&inner).await;
            }
            () = inner.lapsed.notified() => verify(&inner, &mut pace).await,
            _ = lease.changed() => {
                lease.borrow_and_update();
                verify(&inner, &mut pace).await;
            }
        }
    }
}

/// When group commits are made.
#[derive(Default)]
struct Pace {
    /// When the last one began.
    last: Option<Instant>,
}

impl Pace {
    /// The earliest time of the next commit; `None` before the first.
    fn next(&self, inner: &Inner) -> Option<Instant> {
        Some(self.last? + spacing(inner))
    }

    async fn commit(&mut self, inner: &Inner) {
        self.last = Some(Instant::now());
        let round = collect(inner);
        write(inner, round).await;
    }

    /// Makes a commit if something has changed and one is due.
    async fn commit_if_due(&mut self, inner: &Inner) {
        let is_due = self.next(inner).is_none_or(|next| next <= Instant::now());
        if is_due && !inner.dirty.lock().is_empty() {
            self.commit(inner).await;
        }
    }
}

/// Least time between two commits: longer the slower the store answers, and the more entries share
/// its writes.
fn spacing(inner: &Inner) -> Duration {
    let keepers = u32::try_from(inner.table.read().keepers().count()).unwrap_or(u32::MAX);
    let shared = inner.pacing.lock().spacing(keepers);
    shared.max(*inner.window.lock())
}

/// Takes the pending changes of every changed shard and plans their journal segments.
fn collect(inner: &Inner) -> Round {
    let dirty = std::mem::take(&mut *inner.dirty.lock());
    let mut round = Round {
        jobs: Vec::new(),
        upto: BTreeMap::new(),
    };
    for shard in dirty {
        let mut slot = inner.slot(shard).lock();
        let Some(kept) = slot.kept().filter(|kept| kept.shard.pending() > 0) else {
            continue;
        };
        let nonce = rand::random();
        let job = if kept.writer.is_snapshot_due() {
            let batch = kept.shard.take_snapshot();
            round.upto.insert(shard, batch.upto);
            kept.writer.snapshot(&batch.entries, nonce)
        } else {
            let Some(batch) = kept.shard.take_batch() else {
                continue;
            };
            round.upto.insert(shard, batch.upto);
            kept.writer.append(&batch.entries, nonce)
        };
        round.jobs.push(job);
    }
    round
}

/// Writes a round to its end: every shard in it is durable or lost.
async fn write(inner: &Inner, round: Round) {
    let mut jobs = round.jobs;
    while !jobs.is_empty() {
        let lapsed = commit_jobs(inner, jobs, &round.upto).await;
        jobs = take_again(inner, lapsed).await;
    }
}

/// Commits `jobs`; returns those whose shards nobody holds.
async fn commit_jobs(
    inner: &Inner,
    jobs: Vec<Job>,
    upto: &BTreeMap<id::ShardId, shard::Position>,
) -> Vec<Job> {
    let mut commit = Commit::new(jobs, inner.opts.commit);
    let mut backoff = Backoff::new();
    let mut lapsed = Vec::new();
    loop {
        let txn = match commit.step() {
            Step::Done => return lapsed,
            Step::Write(txn) | Step::Read(txn) => txn,
        };
        let reply = send(inner, &txn).await;
        let failed = !matches!(reply, Reply::Answer(_));
        commit.on(reply);
        for verdict in commit.take_verdicts() {
            settle(inner, verdict, upto, &mut lapsed);
        }
        if failed {
            backoff.pause().await;
        } else {
            backoff = Backoff::new();
        }
    }
}

async fn send(inner: &Inner, txn: &kv::Txn) -> Reply {
    let sent = Instant::now();
    match inner.store.txn(txn).await {
        Ok(outcome) => {
            inner.note_contact();
            inner.pacing.lock().observe(sent.elapsed());
            Reply::Answer(outcome)
        }
        Err(err) if err.may_have_applied() => {
            count("unknown");
            Reply::Unknown
        }
        Err(_) => {
            count("not_sent");
            Reply::NotSent
        }
    }
}

fn settle(
    inner: &Inner,
    verdict: Verdict,
    upto: &BTreeMap<id::ShardId, shard::Position>,
    lapsed: &mut Vec<Job>,
) {
    match verdict {
        Verdict::Committed { shard } => {
            count("committed");
            if let Some(kept) = inner.slot(shard).lock().kept() {
                kept.note_durable(upto[&shard]);
            }
        }
        Verdict::Lapsed(job) => {
            count("lapsed");
            lapsed.push(job);
        }
        Verdict::Lost { shard } => {
            count("lost");
            lose(inner, shard, "stale_fence");
        }
        Verdict::Foreign { shard } => {
            count("foreign");
            lose(inner, shard, "foreign_journal");
        }
    }
}

/// Takes the shards of `lapsed` again, where nobody else has; returns what is left to write.
///
/// A shard is asked for until the store has told who holds it. Acquisitions take effect although their
/// answers are lost: written on under the old fencing number, a group would meet this keeper's own new
/// key, which looks like another's, and its changes would be dropped.
async fn take_again(inner: &Inner, lapsed: Vec<Job>) -> Vec<Job> {
    let mut undecided = lapsed;
    let mut taken = Vec::new();
    let mut backoff = Backoff::new();
    while !undecided.is_empty() {
        wait_for_lease(inner).await;
        let wants = undecided.iter().map(|job| acquire::Want {
            shard: job.shard,
            head: Some(job.before.clone()),
        });
        let doubts = inner.doubts();
        let lease = *inner.lease.borrow();
        let outcome = acquire::run(inner, lease, wants.collect()).await;
        let fences = refence(inner, &outcome, doubts);
        undecided.retain(|job| !outcome.lost.contains(&job.shard));
        for job in std::mem::take(&mut undecided) {
            match fences.get(&job.shard) {
                Some(fence) => taken.push(Job {
                    fence: *fence,
                    ..job
                }),
                None => undecided.push(job),
            }
        }
        if !undecided.is_empty() {
            backoff.pause().await;
        }
    }
    taken
}

/// Asks the store for the kept shards that are in doubt, as after a lapsed lease: takes them again where
/// nobody else has taken them and their journal is as this keeper left it, and drops the others. Safety
/// does not need this, since every commit compares the fencing number: it lets idle shards go on, too.
///
/// Thousands of shards take many calls, and nothing may wait for the last of them: changes are committed
/// between the calls, a shard serves as soon as the store has told of it, and those that calls wait for
/// go first.
async fn verify(inner: &Inner, pace: &mut Pace) {
    if inner.in_doubt().is_empty() {
        return;
    }
    // All entries come here together when the store is back.
    tokio::time::sleep(keeper::jitter(MAX_SPREAD.min(inner.opts.ttl / 4))).await;
    if *inner.lease.borrow() == 0 {
        return;
    }
    let started = Instant::now();
    let mut pending = inner.in_doubt();
    tracing::info!(entry = %inner.opts.entry, shards = pending.len(), doubts = inner.doubts(), "asks the store who keeps its shards");
    while !pending.is_empty() {
        pace.commit_if_due(inner).await;
        let part = inner.wanted_first(&mut pending, acquire::BATCH);
        if !ask_for(inner, &part).await {
            break;
        }
    }
    let left = inner.in_doubt().len();
    tracing::info!(entry = %inner.opts.entry, left, took = ?started.elapsed(), "has asked the store who keeps its shards");
    if left > 0 {
        inner.lapsed.notify_one();
    }
}

/// Takes `shards` again or drops them; false if the store has not told of all.
async fn ask_for(inner: &Inner, shards: &[id::ShardId]) -> bool {
    // A lease that lapses while the store is asked is a doubt of its own.
    let doubts = inner.doubts();
    let wants = heads(inner, shards);
    let asked = wants.len();
    let lease = *inner.lease.borrow();
    let outcome = acquire::run(inner, lease, wants).await;
    refence(inner, &outcome, doubts);
    outcome.taken.len() + outcome.lost.len() == asked
}

/// Those of `shards` that are kept, with the heads that their journals must have.
fn heads(inner: &Inner, shards: &[id::ShardId]) -> Vec<acquire::Want> {
    let kept = shards.iter().filter_map(|&shard| {
        let mut slot = inner.slot(shard).lock();
        let head = slot.kept()?.writer.stored_head().map(<[u8]>::to_vec);
        Some(acquire::Want {
            shard,
            head: Some(head),
        })
    });
    kept.collect()
}

/// Notes what the store has told of kept shards when it was asked, after so many `doubts`.
fn refence(
    inner: &Inner,
    outcome: &acquire::Outcome,
    doubts: u64,
) -> BTreeMap<id::ShardId, id::Fence> {
    for shard in &outcome.lost {
        lose(inner, *shard, "taken_over");
    }
    for (shard, fence) in &outcome.taken {
        if let Some(kept) = inner.slot(*shard).lock().kept() {
            kept.writer.set_fence(*fence);
            kept.is_superseded = false;
            kept.confirmed = kept.confirmed.max(Some(doubts));
        }
    }
    outcome.taken.iter().copied().collect()
}

async fn wait_for_lease(inner: &Inner) {
    let mut lease = inner.lease.subscribe();
    let granted = lease.wait_for(|id| *id != 0);
    // The pause bounds how often this goes round while the store answers and grants no lease.
    let _ = tokio::time::timeout(Duration::from_secs(1), granted).await;
}

/// Drops a shard that has another keeper. Whoever waits for a change of it is told.
fn lose(inner: &Inner, shard: id::ShardId, reason: &'static str) {
    *inner.slot(shard).lock() = Slot::Absent;
    metrics::counter!(keeper::LOST_TOTAL, "reason" => reason).increment(1);
    tracing::warn!(entry = %inner.opts.entry, shard, reason, "shard lost");
}

fn count(outcome: &'static str) {
    metrics::counter!(keeper::COMMITS_TOTAL, "outcome" => outcome).increment(1);
}
