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
const MAX_VERIFY_DELAY: Duration = Duration::from_millis(500);

/// Changes on their way to the store.
struct GroupCommit {
    jobs: Vec<Job>,
    end_positions: BTreeMap<id::ShardId, shard::Position>,
}

pub(super) async fn run(inner: Arc<Inner>) {
    let mut lease = inner.lease.subscribe();
    let mut pacer = CommitPacer::default();
    loop {
        tokio::select! {
            () = inner.dirty_added.notified() => {
                if let Some(next) = pacer.next_due(&inner) {
                    // The first change after a quiet time goes at once; those close behind share
                    // the next call. So the rate is bounded and a lone turn need not wait.
                    tokio::time::sleep_until(next).await;
                }
                pacer.commit(&inner).await;
            }
            () = inner.verify_due.notified() => verify_ownership(&inner, &mut pacer).await,
            _ = lease.changed() => {
                lease.borrow_and_update();
                verify_ownership(&inner, &mut pacer).await;
            }
        }
    }
}

/// When group commits are made.
#[derive(Default)]
struct CommitPacer {
    /// When the last one began.
    last_started: Option<Instant>,
}

impl CommitPacer {
    /// The earliest time of the next commit; `None` before the first.
    fn next_due(&self, inner: &Inner) -> Option<Instant> {
        Some(self.last_started? + commit_interval(inner))
    }

    async fn commit(&mut self, inner: &Inner) {
        self.last_started = Some(Instant::now());
        let group = collect(inner);
        write(inner, group).await;
    }

    /// Makes a commit if something has changed and one is due.
    async fn commit_if_due(&mut self, inner: &Inner) {
        let is_due = self
            .next_due(inner)
            .is_none_or(|next| next <= Instant::now());
        if is_due && !inner.dirty.lock().is_empty() {
            self.commit(inner).await;
        }
    }
}

/// Least time between two commits: longer the slower the store answers, and the more entries share
/// its writes.
fn commit_interval(inner: &Inner) -> Duration {
    let keepers = u32::try_from(inner.table.read().keepers().count()).unwrap_or(u32::MAX);
    let adaptive = inner.window.lock().spacing(keepers);
    adaptive.max(*inner.window_min.lock())
}

/// Takes the pending changes of every changed shard and plans their journal segments.
fn collect(inner: &Inner) -> GroupCommit {
    let dirty = std::mem::take(&mut *inner.dirty.lock());
    let mut group = GroupCommit {
        jobs: Vec::new(),
        end_positions: BTreeMap::new(),
    };
    for shard in dirty {
        let mut slot = inner.slot(shard).lock();
        let Some(kept) = slot.kept().filter(|kept| kept.shard.pending() > 0) else {
            continue;
        };
        let nonce = rand::random();
        let job = if kept.writer.is_snapshot_due() {
            let batch = kept.shard.take_snapshot();
            group.end_positions.insert(shard, batch.upto);
            kept.writer.snapshot(&batch.entries, nonce)
        } else {
            let Some(batch) = kept.shard.take_batch() else {
                continue;
            };
            group.end_positions.insert(shard, batch.upto);
            kept.writer.append(&batch.entries, nonce)
        };
        group.jobs.push(job);
    }
    group
}

/// Writes a round to its end: every shard in it is durable or lost.
async fn write(inner: &Inner, group: GroupCommit) {
    let mut jobs = group.jobs;
    while !jobs.is_empty() {
        let lapsed = commit_jobs(inner, jobs, &group.end_positions).await;
        jobs = reacquire(inner, lapsed).await;
    }
}

/// Commits `jobs`; returns those whose shards nobody holds.
async fn commit_jobs(
    inner: &Inner,
    jobs: Vec<Job>,
    end_positions: &BTreeMap<id::ShardId, shard::Position>,
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
            apply_verdict(inner, verdict, end_positions, &mut lapsed);
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
            inner.record_contact();
            inner.window.lock().observe(sent.elapsed());
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

fn apply_verdict(
    inner: &Inner,
    verdict: Verdict,
    end_positions: &BTreeMap<id::ShardId, shard::Position>,
    lapsed: &mut Vec<Job>,
) {
    match verdict {
        Verdict::Committed { shard } => {
            count("committed");
            if let Some(kept) = inner.slot(shard).lock().kept() {
                kept.mark_durable(end_positions[&shard]);
            }
        }
        Verdict::Lapsed(job) => {
            count("lapsed");
            lapsed.push(job);
        }
        Verdict::Lost { shard } => {
            count("lost");
            drop_shard(inner, shard, "stale_fence");
        }
        Verdict::Foreign { shard } => {
            count("foreign");
            drop_shard(inner, shard, "foreign_journal");
        }
    }
}

/// Takes the shards of `lapsed` again, where nobody else has; returns what is left to write.
///
/// A shard is asked for until the store has told who holds it. Acquisitions take effect although their
/// answers are lost: written on under the old fencing number, a group would meet this keeper's own new
/// key, which looks like another's, and its changes would be dropped.
async fn reacquire(inner: &Inner, lapsed: Vec<Job>) -> Vec<Job> {
    let mut undecided = lapsed;
    let mut taken = Vec::new();
    let mut backoff = Backoff::new();
    while !undecided.is_empty() {
        wait_for_lease(inner).await;
        let requests = undecided.iter().map(|job| acquire::Request {
            shard: job.shard,
            head: Some(job.before.clone()),
        });
        let epoch = inner.ownership_epoch();
        let lease = *inner.lease.borrow();
        let outcome = acquire::run(inner, lease, requests.collect()).await;
        let fences = apply_outcome(inner, &outcome, epoch);
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
async fn verify_ownership(inner: &Inner, pacer: &mut CommitPacer) {
    if inner.shards_in_doubt().is_empty() {
        return;
    }
    // All entries come here together when the store is back.
    tokio::time::sleep(keeper::jitter(MAX_VERIFY_DELAY.min(inner.opts.ttl / 4))).await;
    if *inner.lease.borrow() == 0 {
        return;
    }
    let started = Instant::now();
    let mut pending = inner.shards_in_doubt();
    tracing::info!(entry = %inner.opts.entry, shards = pending.len(), doubts = inner.ownership_epoch(), "asks the store who keeps its shards");
    while !pending.is_empty() {
        pacer.commit_if_due(inner).await;
        let batch = inner.take_prioritized_first(&mut pending, acquire::BATCH);
        if !verify_shards(inner, &batch).await {
            break;
        }
    }
    let left = inner.shards_in_doubt().len();
    tracing::info!(entry = %inner.opts.entry, left, took = ?started.elapsed(), "has asked the store who keeps its shards");
    if left > 0 {
        inner.verify_due.notify_one();
    }
}

/// Takes `shards` again or drops them; false if the store has not told of all.
async fn verify_shards(inner: &Inner, shards: &[id::ShardId]) -> bool {
    // A lease that lapses while the store is asked is a doubt of its own.
    let epoch = inner.ownership_epoch();
    let requests = ownership_requests(inner, shards);
    let asked = requests.len();
    let lease = *inner.lease.borrow();
    let outcome = acquire::run(inner, lease, requests).await;
    apply_outcome(inner, &outcome, epoch);
    outcome.taken.len() + outcome.lost.len() == asked
}

/// Those of `shards` that are kept, with the heads that their journals must have.
fn ownership_requests(inner: &Inner, shards: &[id::ShardId]) -> Vec<acquire::Request> {
    let kept = shards.iter().filter_map(|&shard| {
        let mut slot = inner.slot(shard).lock();
        let head = slot.kept()?.writer.stored_head().map(<[u8]>::to_vec);
        Some(acquire::Request {
            shard,
            head: Some(head),
        })
    });
    kept.collect()
}

/// Notes what the store has told of kept shards when it was asked, after so many `doubts`.
fn apply_outcome(
    inner: &Inner,
    outcome: &acquire::Outcome,
    epoch: u64,
) -> BTreeMap<id::ShardId, id::Fence> {
    for shard in &outcome.lost {
        drop_shard(inner, *shard, "taken_over");
    }
    for (shard, fence) in &outcome.taken {
        if let Some(kept) = inner.slot(*shard).lock().kept() {
            kept.writer.set_fence(*fence);
            kept.is_superseded = false;
            kept.confirmed_epoch = kept.confirmed_epoch.max(Some(epoch));
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
fn drop_shard(inner: &Inner, shard: id::ShardId, reason: &'static str) {
    *inner.slot(shard).lock() = Slot::Absent;
    metrics::counter!(keeper::LOST_TOTAL, "reason" => reason).increment(1);
    tracing::warn!(entry = %inner.opts.entry, shard, reason, "shard lost");
}

fn count(outcome: &'static str) {
    metrics::counter!(keeper::COMMITS_TOTAL, "outcome" => outcome).increment(1);
}
