//! Group commit of the changes of all shards, and reacquisition of shards after a lapsed lease.

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

/// Maximum random delay before the ownership of shards is verified after a lapsed lease.
const MAX_VERIFY_DELAY: Duration = Duration::from_millis(500);

/// The journal segments of one group commit, and the position up to which it covers each shard.
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
                    // The first change after an idle period is committed at once; later ones share
                    // the next call. This bounds the rate without delaying a single turn.
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

/// Schedules group commits.
#[derive(Default)]
struct CommitPacer {
    /// When the last commit started.
    last_started: Option<Instant>,
}

impl CommitPacer {
    /// The earliest time of the next commit; `None` before the first one.
    fn next_due(&self, inner: &Inner) -> Option<Instant> {
        Some(self.last_started? + commit_interval(inner))
    }

    async fn commit(&mut self, inner: &Inner) {
        self.last_started = Some(Instant::now());
        let group = collect(inner);
        write(inner, group).await;
    }

    /// Commits pending changes, if there are any and a commit is due.
    async fn commit_if_due(&mut self, inner: &Inner) {
        let is_due = self
            .next_due(inner)
            .is_none_or(|next| next <= Instant::now());
        if is_due && !inner.dirty.lock().is_empty() {
            self.commit(inner).await;
        }
    }
}

/// Minimum interval between two commits. It grows with the store's response time and with the number of
/// entries that share its write rate.
fn commit_interval(inner: &Inner) -> Duration {
    let keepers = u32::try_from(inner.table.read().keepers().count()).unwrap_or(u32::MAX);
    let adaptive = inner.window.lock().spacing(keepers);
    adaptive.max(*inner.window_min.lock())
}

/// Takes the pending changes of every dirty shard and builds their journal segments.
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
            group.end_positions.insert(shard, batch.last_position);
            kept.writer.snapshot(&batch.entries, nonce)
        } else {
            let Some(batch) = kept.shard.take_batch() else {
                continue;
            };
            group.end_positions.insert(shard, batch.last_position);
            kept.writer.append(&batch.entries, nonce)
        };
        group.jobs.push(job);
    }
    group
}

/// Writes a group commit to completion: afterwards each of its shards is durable or lost.
async fn write(inner: &Inner, group: GroupCommit) {
    let mut jobs = group.jobs;
    while !jobs.is_empty() {
        let lapsed = commit_jobs(inner, jobs, &group.end_positions).await;
        jobs = reacquire(inner, lapsed).await;
    }
}

/// Commits `jobs`; returns those whose shards have no owner.
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
        commit.handle_reply(reply);
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

/// Reacquires the shards of `lapsed` that no other process has taken; returns the jobs left to write.
///
/// Each acquisition is retried until the store has answered who holds the shard, since it may take effect
/// although its answer is lost. A job written under the old fencing number would then fail on this
/// keeper's own new key, which looks like that of another keeper, and its changes would be dropped.
async fn reacquire(inner: &Inner, lapsed: Vec<Job>) -> Vec<Job> {
    let mut undecided = lapsed;
    let mut taken = Vec::new();
    let mut backoff = Backoff::new();
    while !undecided.is_empty() {
        wait_for_lease(inner).await;
        let requests = undecided.iter().map(|job| acquire::Request {
            shard: job.shard,
            head: Some(job.expected_head.clone()),
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

/// Verifies in the store the ownership of kept shards that are in doubt, as after a lapsed lease: reacquires
/// those that no other process has taken and whose journal is unchanged, and drops the others. This is not
/// needed for safety, since every commit compares the fencing number; it lets idle shards serve again.
///
/// Thousands of shards take many calls, and requests must not wait for the last one: changes are committed
/// between the calls, a shard serves as soon as its own ownership is verified, and shards that requests
/// wait for are verified first.
async fn verify_ownership(inner: &Inner, pacer: &mut CommitPacer) {
    if inner.shards_in_doubt().is_empty() {
        return;
    }
    // All entries get here at the same time when the store recovers.
    tokio::time::sleep(keeper::jitter(MAX_VERIFY_DELAY.min(inner.opts.ttl / 4))).await;
    if *inner.lease.borrow() == 0 {
        return;
    }
    let started = Instant::now();
    let mut pending = inner.shards_in_doubt();
    tracing::info!(entry = %inner.opts.entry, shards = pending.len(), doubts = inner.ownership_epoch(), "verifying shard ownership in the store");
    while !pending.is_empty() {
        pacer.commit_if_due(inner).await;
        let batch = inner.take_prioritized_first(&mut pending, acquire::BATCH);
        if !verify_shards(inner, &batch).await {
            break;
        }
    }
    let left = inner.shards_in_doubt().len();
    tracing::info!(entry = %inner.opts.entry, left, took = ?started.elapsed(), "shard ownership verification ended");
    if left > 0 {
        inner.verify_due.notify_one();
    }
}

/// Reacquires or drops each of `shards`; returns whether the store has answered for all of them.
async fn verify_shards(inner: &Inner, shards: &[id::ShardId]) -> bool {
    // Read before the call: a lease that lapses during it puts the shards in doubt again.
    let epoch = inner.ownership_epoch();
    let requests = ownership_requests(inner, shards);
    let asked = requests.len();
    let lease = *inner.lease.borrow();
    let outcome = acquire::run(inner, lease, requests).await;
    apply_outcome(inner, &outcome, epoch);
    outcome.taken.len() + outcome.lost.len() == asked
}

/// Acquisition requests for those of `shards` that are kept, with the expected heads of their journals.
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

/// Applies the outcome of acquisitions to kept shards; `epoch` is the ownership epoch before the calls.
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
    // The timeout bounds the retry rate while the store answers calls but grants no lease.
    let _ = tokio::time::timeout(Duration::from_secs(1), granted).await;
}

/// Drops a shard that has another keeper. Pending waits for its changes fail with `StaleFence`.
fn drop_shard(inner: &Inner, shard: id::ShardId, reason: &'static str) {
    *inner.slot(shard).lock() = Slot::Absent;
    metrics::counter!(keeper::LOST_TOTAL, "reason" => reason).increment(1);
    tracing::warn!(entry = %inner.opts.entry, shard, reason, "shard lost");
}

fn count(outcome: &'static str) {
    metrics::counter!(keeper::COMMITS_TOTAL, "outcome" => outcome).increment(1);
}
