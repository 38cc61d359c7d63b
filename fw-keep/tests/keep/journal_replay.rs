//! Journals are read back completely, and damage is reported and confined to the programs that it
//! may affect.

use std::time::Duration;

use fw_base::chat::Message;
use fw_base::error;
use fw_base::error::Kind;
use fw_keep::commit::Commit;
use fw_keep::commit::Options;
use fw_keep::commit::Reply;
use fw_keep::commit::Step;
use fw_keep::journal::keys;
use fw_keep::journal::replay;
use fw_keep::journal::replay::Item;
use fw_keep::journal::segment::Corrupt;
use fw_keep::journal::writer;
use fw_keep::journal::writer::Job;
use fw_keep::journal::writer::Writer;
use fw_keep::program::Outcome;
use fw_keep::shard::Shard;
use fw_store::kv;
use googletest::prelude::*;

use crate::fleet;
use crate::memory_store::Memory;

const ROOT: &str = "/t/";
const NOW: Duration = Duration::from_secs(1);

/// One shard with its journal in a store.
struct Journal {
    store: Memory,
    shard: Shard,
    writer: Writer,
    nonce: u64,
}

impl Journal {
    fn new(opts: writer::Options) -> Self {
        let mut journal = Self {
            store: Memory::new(),
            shard: Shard::new(0),
            writer: Writer::new(
                ROOT,
                0,
                0,
                fw_keep::journal::segment::Head::default(),
                None,
                opts,
            ),
            nonce: 0,
        };
        journal.take_over(opts);
        journal
    }

    /// Another holder acquires the shard and loads its journal.
    fn take_over(&mut self, opts: writer::Options) {
        let owner = keys::owner(ROOT, 0);
        let delete = kv::Txn {
            then: vec![kv::Op::delete(&owner)],
            ..kv::Txn::default()
        };
        self.store.txn(&delete).unwrap();
        let create = kv::Txn {
            then: vec![kv::Op::put(owner, b"o".to_vec())],
            ..kv::Txn::default()
        };
        let fence = self.store.txn(&create).unwrap().revision;
        let read = self.read();
        let (head, stored) = (read.head, read.stored_head);
        self.shard = Shard::load(0, read.items);
        self.writer = Writer::new(ROOT, 0, fence, head, stored, opts);
    }

    fn read(&self) -> replay::Replayed {
        let head = self.store.get(&keys::head(ROOT, 0)).map(|kv| kv.value);
        let values = self
            .store
            .range(&kv::Range::prefix(keys::segments(ROOT, 0)))
            .kvs;
        let values = values.into_iter().map(|kv| (kv.key, kv.value)).collect();
        replay::read(ROOT, 0, head, values)
    }

    fn turn(&mut self, program: &str, number: u32, text: &str) {
        let begun = self
            .shard
            .begin(&program.into(), fleet::delta(number, text, 7), NOW);
        assert!(matches!(begun, Outcome::Run(_)), "{begun:?}");
        let answer = fleet::answer("answer");
        self.shard.finish(&program.into(), 7, answer, NOW).unwrap();
    }

    fn job(&mut self) -> Job {
        self.nonce += 1;
        let batch = self.shard.take_batch().unwrap();
        self.writer.append(&batch.entries, self.nonce)
    }

    /// Writes at most `writes` transactions of a job.
    fn write(&mut self, job: Job, writes: usize) {
        let opts = Options {
            max_bytes: 1,
            ..Options::default()
        };
        let mut commit = Commit::new(vec![job], opts);
        for _ in 0..writes {
            let Step::Write(txn) = commit.step() else {
                return;
            };
            let answer = self.store.txn(&txn).unwrap();
            assert!(answer.succeeded);
            commit.handle_reply(Reply::Answer(answer));
        }
    }

    fn commit(&mut self) {
        let job = self.job();
        self.write(job, usize::MAX);
    }

    fn snapshot(&mut self, writes: usize) {
        self.nonce += 1;
        let batch = self.shard.take_snapshot();
        let job = self.writer.snapshot(&batch.entries, self.nonce);
        self.write(job, writes);
    }

    fn put(&mut self, key: &str, value: &[u8]) {
        let txn = kv::Txn {
            then: vec![kv::Op::put(key, value)],
            ..kv::Txn::default()
        };
        self.store.txn(&txn).unwrap();
    }

    fn delete(&mut self, key: &str) {
        let txn = kv::Txn {
            then: vec![kv::Op::delete(key)],
            ..kv::Txn::default()
        };
        self.store.txn(&txn).unwrap();
    }

    fn turns(&self, program: &str) -> Option<u32> {
        self.shard
            .program(&program.into())
            .map(|program| program.turn())
    }

    fn damage(&self) -> Vec<Corrupt> {
        let items = self.read().items.into_iter();
        let damage = items.filter_map(|item| match item {
            Item::Damage(corrupt) => Some(corrupt),
            Item::Group(_) | Item::Snapshot(_) => None,
        });
        damage.collect()
    }
}

fn small_segments() -> writer::Options {
    writer::Options {
        max_payload: 512,
        ..writer::Options::default()
    }
}

fn segment(generation: u64, seq: u64) -> String {
    keys::segment(ROOT, 0, generation, seq)
}

fn kind(outcome: Outcome) -> Option<Kind> {
    match outcome {
        Outcome::Refused(error::Error { kind, .. }) => Some(kind),
        _ => None,
    }
}

#[gtest]
fn a_large_turn_is_split_and_read_back() {
    let mut journal = Journal::new(small_segments());
    let large = "x".repeat(10_000);
    journal.turn("p", 1, &large);
    journal.commit();
    journal.take_over(small_segments());
    expect_that!(journal.read().head.next_seq, gt(15));
    let history = journal.shard.program(&"p".into()).unwrap().history();
    expect_that!(history[0], eq(&Message::text("user", &large)));
}

/// The holder crashes between two parts of a large group. The group was never durable nor reported
/// as durable, so it must neither be applied nor be treated as damage.
#[gtest]
fn an_unfinished_group_is_skipped() {
    let mut journal = Journal::new(small_segments());
    journal.turn("p", 1, "ask");
    journal.commit();
    journal.turn("p", 2, &"x".repeat(10_000));
    let job = journal.job();
    journal.write(job, 3);
    journal.take_over(small_segments());
    expect_that!(journal.turns("p"), some(eq(1)));
    expect_that!(journal.read().unfinished, eq(1));
    expect_that!(journal.damage(), is_empty());
    journal.turn("p", 2, "again");
    journal.commit();
    journal.take_over(small_segments());
    expect_that!(journal.turns("p"), some(eq(2)));
    expect_that!(journal.damage(), is_empty());
}

#[gtest]
fn a_snapshot_replaces_earlier_entries() {
    let mut journal = Journal::new(small_segments());
    for number in 1..=5 {
        journal.turn("p", number, "ask");
        journal.commit();
    }
    let before = journal.shard.program(&"p".into()).unwrap().digest();
    journal.snapshot(usize::MAX);
    expect_that!(journal.store.get(&segment(1, 0)), none());
    journal.turn("q", 1, "ask");
    journal.commit();
    journal.take_over(small_segments());
    expect_that!(
        journal.shard.program(&"p".into()).unwrap().digest(),
        eq(before)
    );
    expect_that!(journal.turns("q"), some(eq(1)));
}

/// The holder crashes in the middle of a snapshot of several segments. The generation before it is
/// still current, and the next snapshot deletes the segments of the unfinished one.
#[gtest]
fn an_unfinished_snapshot_has_no_effect() {
    let mut journal = Journal::new(small_segments());
    journal.turn("p", 1, &"x".repeat(5_000));
    journal.commit();
    journal.snapshot(2);
    journal.take_over(small_segments());
    expect_that!(journal.turns("p"), some(eq(1)));
    expect_that!(journal.damage(), is_empty());
    journal.snapshot(usize::MAX);
    journal.take_over(small_segments());
    expect_that!(journal.turns("p"), some(eq(1)));
    expect_that!(journal.store.get(&segment(2, 0)), none());
}

#[gtest]
fn snapshots_are_due_in_proportion_to_written_segments() {
    let opts = writer::Options {
        max_segments: 10,
        ..writer::Options::default()
    };
    let mut journal = Journal::new(opts);
    let mut due = 0;
    for number in 1..=40 {
        journal.turn("p", number, "ask");
        if journal.writer.is_snapshot_due() {
            due += 1;
            journal.snapshot(usize::MAX);
        } else {
            journal.commit();
        }
    }
    expect_that!(due, all!(ge(3), le(4)));
}

/// A damaged segment may have held a turn of any program. Programs that a later turn proves to be
/// complete continue; all others, unknown ones included, are refused rather than run on a history
/// that may lack turns.
#[gtest]
fn damage_refuses_all_programs_that_it_may_affect() {
    for damage in ["torn", "missing", "foreign"] {
        let mut journal = Journal::new(small_segments());
        for (program, number) in [
            ("whole", 1),
            ("hit", 1),
            ("hit", 2),
            ("whole", 2),
            ("idle", 1),
        ] {
            journal.turn(program, number, "ask");
            journal.commit();
        }
        let key = segment(1, 2);
        match damage {
            "torn" => journal.put(&key, b"fwj1"),
            "missing" => journal.delete(&key),
            _ => {
                let other = journal.store.get(&segment(1, 1)).unwrap().value;
                journal.put(&key, &other);
            }
        }
        expect_that!(journal.damage().len(), eq(1), "{damage}");
        journal.take_over(small_segments());
        let mut begin = |program: &str, number| {
            let begin = fleet::delta(number, "next", 9);
            kind(journal.shard.begin(&program.into(), begin, NOW))
        };
        expect_that!(begin("whole", 3), none(), "{damage}");
        expect_that!(begin("idle", 2), none(), "{damage}");
        expect_that!(begin("hit", 2), some(eq(Kind::JournalCorrupt)), "{damage}");
        expect_that!(
            begin("unknown", 1),
            some(eq(Kind::JournalCorrupt)),
            "{damage}"
        );
    }
}

#[gtest]
fn missing_segments_at_the_end_are_detected() {
    let mut journal = Journal::new(small_segments());
    for number in 1..=3 {
        journal.turn("p", number, "ask");
        journal.commit();
    }
    journal.delete(&segment(1, 2));
    let missing = Corrupt::Missing { key: segment(1, 2) };
    expect_that!(journal.damage(), elements_are![eq(&missing)]);
}

/// The head is lost, and the next holder writes a new one. Later holders must still report that
/// changes may be missing, although every value in the store is valid by then.
#[gtest]
fn a_lost_head_is_still_reported_after_it_is_rewritten() {
    let mut journal = Journal::new(small_segments());
    for number in 1..=2 {
        journal.turn("p", number, "ask");
        journal.commit();
    }
    journal.put(&keys::head(ROOT, 0), b"gone");
    journal.take_over(small_segments());
    expect_that!(journal.shard.damage(), some(anything()));
    // A damaged shard refuses new turns, so the later change is a charge to a budget.
    journal.shard.settle(
        &"p".into(),
        1,
        fw_keep::ledger::Amount {
            tokens: 1,
            ..Default::default()
        },
    );
    journal.commit();
    journal.take_over(small_segments());
    expect_that!(journal.shard.damage(), some(anything()));
    expect_that!(journal.turns("p"), some(eq(2)));
}

#[gtest]
fn a_damaged_shard_grants_no_claims() {
    let mut journal = Journal::new(small_segments());
    journal.turn("p", 1, "ask");
    journal.commit();
    journal.put(&segment(1, 0), b"torn");
    journal.take_over(small_segments());
    let claimed = journal
        .shard
        .open_claim(&fleet::key("k"), fleet::fingerprint("b"), NOW);
    let fw_keep::shard::ClaimOutcome::Duplicate(fw_keep::claim::Duplicate::Refused(err)) = claimed
    else {
        panic!("{claimed:?}");
    };
    expect_that!(err.kind, eq(Kind::JournalCorrupt));
}

#[gtest]
fn expired_programs_are_deleted_from_the_journal() {
    let mut journal = Journal::new(small_segments());
    for program in ["ended", "idle", "used"] {
        journal.turn(program, 1, "ask");
    }
    journal
        .shard
        .end(&"ended".into(), &"team".into(), NOW)
        .unwrap();
    journal.commit();
    let after_ended = NOW + Duration::from_secs(2 * 3_600);
    journal.shard.sweep(after_ended);
    expect_that!(journal.turns("ended"), none());
    expect_that!(journal.turns("idle"), some(eq(1)));
    journal.commit();
    journal.take_over(small_segments());
    expect_that!(journal.turns("ended"), none());
    journal.shard.sweep(NOW + Duration::from_secs(25 * 3_600));
    expect_that!(journal.turns("idle"), none());
    journal.snapshot(usize::MAX);
    journal.take_over(small_segments());
    expect_that!(journal.shard.programs().count(), eq(0));
}

/// A segment of a holder that had lost the shard follows one of its successor. No holder can write
/// such a segment, so it is not applied, and the journal counts as damaged at this point, because
/// the segment may have replaced another.
#[gtest]
fn a_segment_of_an_earlier_holder_is_foreign() {
    let mut journal = Journal::new(small_segments());
    journal.turn("p", 1, "ask");
    journal.commit();
    let fence = journal.writer.fence();
    journal.writer.set_fence(fence - 1);
    journal.turn("p", 2, "ask");
    let job = journal.job();
    journal.write(Job { fence, ..job }, usize::MAX);
    expect_that!(
        journal.damage(),
        elements_are![pat!(Corrupt::Foreign { .. })]
    );
}
