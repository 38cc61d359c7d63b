//! Group commits end with the correct verdicts when answers are lost or writes are delayed.

use fw_keep::commit;
use fw_keep::commit::Commit;
use fw_keep::commit::Reply;
use fw_keep::commit::Step;
use fw_keep::commit::Verdict;
use fw_keep::journal::Entry;
use fw_keep::journal::keys;
use fw_keep::journal::segment::Head;
use fw_keep::journal::writer;
use fw_keep::journal::writer::Job;
use fw_keep::journal::writer::Writer;
use fw_store::kv;
use googletest::prelude::*;

use crate::memory_store::Memory;

const ROOT: &str = "/t/";

struct Holder {
    store: Memory,
    lease: kv::LeaseId,
    writers: Vec<Writer>,
}

fn entries(count: usize) -> Vec<Entry> {
    let entry = |n| Entry::Forget {
        program: format!("p{n}").into(),
    };
    (0..count).map(entry).collect()
}

fn acquire(store: &mut Memory, shard: u16, lease: kv::LeaseId) -> i64 {
    let txn = kv::Txn {
        then: vec![kv::Op::Put {
            key: keys::owner(ROOT, shard),
            value: b"owner".to_vec(),
            lease,
        }],
        ..kv::Txn::default()
    };
    store.txn(&txn).unwrap().revision
}

impl Holder {
    fn new(shards: u16, opts: writer::Options) -> Self {
        let mut store = Memory::new();
        let lease = store.grant();
        let writers = (0..shards).map(|shard| {
            let fence = acquire(&mut store, shard, lease);
            Writer::new(ROOT, shard, fence, Head::default(), None, opts)
        });
        let writers = writers.collect();
        Self {
            store,
            lease,
            writers,
        }
    }

    fn jobs(&mut self, nonce: u64, count: usize) -> Vec<Job> {
        let writers = self.writers.iter_mut();
        writers
            .map(|writer| writer.append(&entries(count), nonce))
            .collect()
    }

    fn write(&mut self, commit: &Commit) -> kv::TxnOutcome {
        let Step::Write(txn) = commit.step() else {
            panic!("{:?}", commit.step());
        };
        self.store.txn(&txn).unwrap()
    }

    /// Runs the commit to its end without losing an answer.
    fn run(&mut self, commit: &mut Commit) -> Vec<Verdict> {
        for _ in 0..100 {
            let txn = match commit.step() {
                Step::Done => return commit.take_verdicts(),
                Step::Write(txn) | Step::Read(txn) => txn,
            };
            let answer = self.store.txn(&txn).unwrap();
            commit.handle_reply(Reply::Answer(answer));
        }
        panic!("the commit does not finish");
    }

    fn head(&self, shard: u16) -> Head {
        let key = keys::head(ROOT, shard);
        let stored = self.store.get(&key).unwrap();
        Head::decode(&key, shard, &stored.value).unwrap()
    }
}

fn holder(shards: u16) -> Holder {
    Holder::new(shards, writer::Options::default())
}

fn commit(jobs: Vec<Job>) -> Commit {
    Commit::new(jobs, commit::Options::default())
}

fn committed(shard: u16) -> Verdict {
    Verdict::Committed { shard }
}

#[gtest]
fn one_transaction_carries_many_shards() {
    let mut holder = holder(50);
    let mut commit = commit(holder.jobs(1, 3));
    let answer = holder.write(&commit);
    commit.handle_reply(Reply::Answer(answer));
    expect_that!(commit.step(), eq(&Step::Done));
    expect_that!(commit.take_verdicts().len(), eq(50));
}

#[gtest]
fn transactions_stay_within_the_stores_bounds() {
    let mut holder = Holder::new(
        200,
        writer::Options {
            max_payload: 100,
            ..writer::Options::default()
        },
    );
    let opts = commit::Options {
        max_ops: 120,
        max_bytes: 4_000,
    };
    let mut commit = Commit::new(holder.jobs(1, 60), opts);
    for _ in 0..10_000 {
        let Step::Write(txn) = commit.step() else {
            break;
        };
        assert!(txn.then.len() <= 120 && txn.otherwise.len() <= 128 && txn.compares.len() <= 128);
        let answer = holder.store.txn(&txn).unwrap();
        commit.handle_reply(Reply::Answer(answer));
    }
    expect_that!(commit.take_verdicts().len(), eq(200));
}

/// The store applied the group and its answer was lost. If the group were written again without a
/// read, it would fail its own conditions, as if the holder had lost its shard.
#[gtest]
fn a_lost_answer_is_resolved_by_reading_back() {
    let mut holder = holder(3);
    let mut commit = commit(holder.jobs(1, 3));
    holder.write(&commit);
    commit.handle_reply(Reply::Unknown);
    expect_that!(commit.step(), pat!(Step::Read(anything())));
    commit.handle_reply(Reply::Unknown);
    let verdicts = holder.run(&mut commit);
    expect_that!(
        verdicts,
        unordered_elements_are![eq(&committed(0)), eq(&committed(1)), eq(&committed(2))]
    );
    expect_that!(holder.head(0).next_seq, eq(1));
}

/// The answer was lost and the store had not applied the group: it is written again, once.
#[gtest]
fn a_write_that_was_not_applied_is_sent_again() {
    let mut holder = holder(1);
    let mut commit = commit(holder.jobs(1, 3));
    commit.handle_reply(Reply::Unknown);
    let verdicts = holder.run(&mut commit);
    expect_that!(verdicts, elements_are![eq(&committed(0))]);
}

/// A write is delayed in the network: it times out, a read does not find it, and it is sent again.
/// Then the first copy arrives too, after later groups. If it were applied, it would move the
/// journal's end back, and the next keeper would lose the groups after it.
#[gtest]
fn a_delayed_copy_is_not_applied_after_later_groups() {
    let mut holder = holder(1);
    let mut first = commit(holder.jobs(1, 3));
    let Step::Write(delayed) = first.step() else {
        panic!("nothing to write");
    };
    first.handle_reply(Reply::Unknown);
    holder.run(&mut first);
    let mut second = commit(holder.jobs(2, 3));
    holder.run(&mut second);
    let late = holder.store.txn(&delayed).unwrap();
    expect_that!(late.succeeded, eq(false));
    expect_that!(holder.head(0).next_seq, eq(2));
}

/// As before, but a snapshot has deleted the first group's segment in the meantime, so the
/// condition that the segment does not exist yet would hold again for the delayed copy.
#[gtest]
fn a_delayed_copy_is_not_applied_after_a_snapshot() {
    let mut holder = holder(1);
    let mut first = commit(holder.jobs(1, 3));
    let Step::Write(delayed) = first.step() else {
        panic!("nothing to write");
    };
    first.handle_reply(Reply::Unknown);
    holder.run(&mut first);
    let job = holder.writers[0].snapshot(&entries(1), 2);
    holder.run(&mut commit(vec![job]));
    expect_that!(holder.store.get(&keys::segment(ROOT, 0, 1, 0)), none());
    expect_that!(holder.store.txn(&delayed).unwrap().succeeded, eq(false));
    expect_that!(holder.head(0).generation, eq(2));
}

/// The delayed copy arrives between the read and the retry, whose conditions then fail. The group
/// is committed all the same, and the holder must not give up its shard.
#[gtest]
fn a_delayed_copy_applied_before_the_retry_counts() {
    let mut holder = holder(1);
    let mut commit = commit(holder.jobs(1, 3));
    let Step::Write(delayed) = commit.step() else {
        panic!("nothing to write");
    };
    commit.handle_reply(Reply::Unknown);
    let Step::Read(read) = commit.step() else {
        panic!("nothing to read");
    };
    let stored = holder.store.txn(&read).unwrap();
    commit.handle_reply(Reply::Answer(stored));
    holder.store.txn(&delayed).unwrap();
    let verdicts = holder.run(&mut commit);
    expect_that!(verdicts, elements_are![eq(&committed(0))]);
}

/// A holder is paused past its lease and writes after another holder has acquired one of its
/// shards. The commits of the shards that it still holds must not be affected.
#[gtest]
fn a_stale_holder_loses_its_shard_and_keeps_the_others() {
    let mut holder = holder(3);
    let jobs = holder.jobs(1, 3);
    let delete_owner = kv::Txn {
        then: vec![kv::Op::delete(keys::owner(ROOT, 1))],
        ..kv::Txn::default()
    };
    holder.store.txn(&delete_owner).unwrap();
    let lease = holder.store.grant();
    acquire(&mut holder.store, 1, lease);
    let verdicts = holder.run(&mut commit(jobs));
    expect_that!(
        verdicts,
        unordered_elements_are![
            eq(&committed(0)),
            eq(&Verdict::Lost { shard: 1 }),
            eq(&committed(2))
        ]
    );
    expect_that!(holder.store.get(&keys::head(ROOT, 1)), none());
}

#[gtest]
fn a_lapsed_holder_may_reacquire_its_shard_and_continue() {
    let mut holder = holder(1);
    let jobs = holder.jobs(1, 3);
    let (store, lease) = (&mut holder.store, holder.lease);
    store.revoke(lease);
    let verdicts = holder.run(&mut commit(jobs));
    let [Verdict::Lapsed(job)] = verdicts.as_slice() else {
        panic!("{verdicts:?}");
    };
    let lease = holder.store.grant();
    let fence = acquire(&mut holder.store, 0, lease);
    let retry = Job {
        fence,
        ..job.clone()
    };
    let verdicts = holder.run(&mut commit(vec![retry]));
    expect_that!(verdicts, elements_are![eq(&committed(0))]);
}

/// A writer that does not hold the shard has written to its journal. Continuing would hide that.
#[gtest]
fn a_head_changed_by_a_foreign_writer_is_reported() {
    let mut holder = holder(1);
    let jobs = holder.jobs(1, 3);
    let foreign = kv::Txn {
        then: vec![kv::Op::put(keys::head(ROOT, 0), b"strange".to_vec())],
        ..kv::Txn::default()
    };
    holder.store.txn(&foreign).unwrap();
    let verdicts = holder.run(&mut commit(jobs));
    expect_that!(verdicts, elements_are![eq(&Verdict::Foreign { shard: 0 })]);
}
