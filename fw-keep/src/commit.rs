//! Group commit: writes the pending journal groups of many shards to the store, and determines the
//! outcome of each group also when answers are lost.
//!
//! One transaction carries the groups of many shards, so that the number of store calls follows
//! the number of entries and the commit window, not the number of turns. Two conditions guard
//! each shard:
//!
//! * The keeper's key still has the revision of our acquisition. A holder that was paused past its
//!   lease has its transaction refused, whether or not it has noticed that the lease lapsed.
//! * The journal's head is the one that our group follows. A transaction that was delayed in the
//!   network, and whose answer is no longer awaited, can't be applied after a later one.
//!
//! When an answer is lost, the head is read back: it identifies the group written last.

use fw_base::id;
use fw_store::kv;

use crate::journal::writer::Job;
use crate::journal::writer::Part;

/// Bounds of one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum number of operations; etcd refuses more than 128.
    pub max_ops: usize,
    /// Maximum bytes of values; etcd refuses requests above 1.5 MB.
    pub max_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_ops: 120,
            max_bytes: 1_000_000,
        }
    }
}

/// The next action of the caller of a [`Commit`].
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this write, and report its result.
    Write(kv::Txn),
    /// The last write's answer was lost: send this read, and report its result.
    Read(kv::Txn),
    /// All groups have a [`Verdict`].
    Done,
}

/// The result of a [`Step`].
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The store answered.
    Answer(kv::TxnOutcome),
    /// The store was not reached; nothing took effect.
    NotSent,
    /// No answer came; a write may have taken effect.
    Unknown,
}

/// The outcome of a shard's group.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It is in the store.
    Committed {
        /// The shard.
        shard: id::ShardId,
    },
    /// Our lease lapsed and no keeper has acquired the shard since. The remaining parts of the
    /// group may be written once the shard is acquired again.
    Lapsed(Job),
    /// The shard has another keeper, which finds out from the journal whether the group was
    /// written.
    Lost {
        /// The shard.
        shard: id::ShardId,
    },
    /// The journal was changed by a writer that does not hold the shard.
    Foreign {
        /// The shard.
        shard: id::ShardId,
    },
}

/// The part of one job that the transaction in flight carries.
#[derive(Clone, Debug)]
struct SentParts {
    job: usize,
    parts: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The next write has not been sent, or did not take effect.
    Ready,
    /// A write's answer was lost, so whether it took effect is unknown.
    Unconfirmed,
}

/// The owner and head of a shard as read from the store.
struct StoredState<'a> {
    owner: id::Revision,
    head: Option<&'a [u8]>,
}

/// One group commit.
#[derive(Debug)]
pub struct Commit {
    jobs: Vec<Job>,
    sent: Vec<SentParts>,
    state: State,
    verdicts: Vec<Verdict>,
    opts: Options,
}

impl Commit {
    /// A commit of `jobs`, at most one for each shard.
    pub fn new(jobs: Vec<Job>, opts: Options) -> Self {
        let mut commit = Self {
            jobs,
            sent: Vec::new(),
            state: State::Ready,
            verdicts: Vec::new(),
            opts,
        };
        commit.plan_txn();
        commit
    }

    /// The next action.
    pub fn step(&self) -> Step {
        match self.state {
            _ if self.jobs.is_empty() => Step::Done,
            State::Ready => Step::Write(self.write_txn()),
            State::Unconfirmed => Step::Read(kv::Txn {
                then: self.read_ops(),
                ..kv::Txn::default()
            }),
        }
    }

    /// Processes the result of the last step.
    pub fn handle_reply(&mut self, reply: Reply) {
        match (self.state, reply) {
            (_, Reply::NotSent) | (State::Unconfirmed, Reply::Unknown) => (),
            (State::Ready, Reply::Unknown) => self.state = State::Unconfirmed,
            (State::Ready, Reply::Answer(outcome)) if outcome.succeeded => self.record_applied(),
            // A refused write may be a retry of one that took effect after our read.
            (State::Ready | State::Unconfirmed, Reply::Answer(outcome)) => {
                self.state = State::Ready;
                self.resolve(&outcome.into_kvs());
            }
        }
    }

    /// The verdicts reached since the last call.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.verdicts)
    }

    /// Chooses the parts that the next transaction carries.
    fn plan_txn(&mut self) {
        self.sent.clear();
        let mut ops = 0;
        let mut bytes = 0;
        for (index, job) in self.jobs.iter().enumerate() {
            let parts = fitting_parts(job, &mut ops, &mut bytes, &self.opts, self.sent.is_empty());
            if parts == 0 {
                break;
            }
            self.sent.push(SentParts { job: index, parts });
        }
    }

    fn write_txn(&self) -> kv::Txn {
        let mut txn = kv::Txn {
            otherwise: self.read_ops(),
            ..kv::Txn::default()
        };
        for sent in &self.sent {
            let job = &self.jobs[sent.job];
            txn.compares.extend(compares(job));
            for part in job.parts.iter().take(sent.parts) {
                txn.then.push(kv::Op::put(&part.key, part.value.clone()));
                txn.then.extend(deletes(part));
            }
            txn.then
                .push(kv::Op::put(&job.head_key, self.head_after(sent)));
        }
        txn
    }

    fn read_ops(&self) -> Vec<kv::Op> {
        let jobs = self.sent.iter().map(|sent| &self.jobs[sent.job]);
        let keys = jobs.flat_map(|job| [&job.owner_key, &job.head_key]);
        keys.map(kv::Op::get).collect()
    }

    fn head_after(&self, sent: &SentParts) -> &[u8] {
        let part = &self.jobs[sent.job].parts[sent.parts - 1];
        &part.head
    }

    /// Removes the parts that were sent, which are in the store.
    fn record_applied(&mut self) {
        for sent in std::mem::take(&mut self.sent) {
            let job = &mut self.jobs[sent.job];
            let last = job.parts.drain(..sent.parts).next_back();
            job.expected_head = last.map(|part| part.head);
        }
        let (done, remaining) = self.jobs.drain(..).partition(|job| job.parts.is_empty());
        self.jobs = remaining;
        let done: Vec<Job> = done;
        let committed = done
            .iter()
            .map(|job| Verdict::Committed { shard: job.shard });
        self.verdicts.extend(committed);
        self.plan_txn();
    }

    /// Determines from the values read whether the last write took effect.
    ///
    /// The write was one transaction: if one head is ours, all of it took effect. If none is, it
    /// did not take effect. If in addition one of its conditions no longer holds, it never will,
    /// because revisions only grow.
    fn resolve(&mut self, kvs: &[kv::Kv]) {
        let is_applied = |sent: &SentParts| {
            stored_state(kvs, &self.jobs[sent.job]).head == Some(self.head_after(sent))
        };
        if self.sent.iter().any(is_applied) {
            self.record_applied();
            return;
        }
        let mut verdicts = Vec::new();
        let sent: Vec<usize> = self.sent.iter().map(|sent| sent.job).collect();
        for index in sent.into_iter().rev() {
            let job = &self.jobs[index];
            let stored = stored_state(kvs, job);
            let same_head = stored.head == job.expected_head.as_deref();
            let shard = job.shard;
            match (stored.owner, same_head) {
                (owner, true) if owner == job.fence => (),
                (0, true) => verdicts.push(Verdict::Lapsed(self.jobs.remove(index))),
                (owner, false) if owner == job.fence => {
                    self.jobs.remove(index);
                    verdicts.push(Verdict::Foreign { shard });
                }
                _ => {
                    self.jobs.remove(index);
                    verdicts.push(Verdict::Lost { shard });
                }
            }
        }
        self.verdicts.extend(verdicts);
        self.plan_txn();
    }
}

/// Number of the job's next parts that still fit into the transaction; adds them to `ops` and
/// `bytes`. The first part of a transaction always fits: it is bounded by the size of a segment.
fn fitting_parts(
    job: &Job,
    ops: &mut usize,
    bytes: &mut usize,
    opts: &Options,
    is_first: bool,
) -> usize {
    let mut count = 0;
    for part in &job.parts {
        let head_op = usize::from(count == 0);
        let more_ops = *ops + 1 + part.delete.len() + head_op;
        let more_bytes = *bytes + part.value.len();
        let is_required = is_first && count == 0;
        let fits = more_ops <= opts.max_ops && more_bytes <= opts.max_bytes;
        if !is_required && !fits {
            break;
        }
        (*ops, *bytes) = (more_ops, more_bytes);
        count += 1;
    }
    count
}

fn compares(job: &Job) -> [kv::Compare; 2] {
    let head_key = job.head_key.clone();
    let head = match &job.expected_head {
        Some(before) => kv::Compare::Value(head_key, before.clone()),
        None => kv::Compare::CreateRevision(head_key, 0),
    };
    [
        kv::Compare::CreateRevision(job.owner_key.clone(), job.fence),
        head,
    ]
}

fn deletes(part: &Part) -> impl Iterator<Item = kv::Op> {
    part.delete.iter().map(|prefix| kv::Op::Delete {
        key: prefix.clone(),
        prefix: true,
    })
}

fn stored_state<'a>(kvs: &'a [kv::Kv], job: &Job) -> StoredState<'a> {
    let find = |key: &str| kvs.iter().find(|kv| kv.key == key);
    StoredState {
        owner: find(&job.owner_key).map_or(0, |kv| kv.create_revision),
        head: find(&job.head_key).map(|kv| kv.value.as_slice()),
    }
}
