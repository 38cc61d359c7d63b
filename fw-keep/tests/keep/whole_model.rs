//! Model test: the real state machines of three holders over one store, with crashes, pauses, lost
//! answers and delayed copies of calls, checked against the results reported to callers.
//!
//! Invariants: changes reported durable are kept, turns stay in order, a claimed call runs at most once,
//! and a holder whose lease has lapsed writes nothing.

use std::collections::BTreeMap;
use std::time::Duration;

use fw_base::digest::Digest;
use fw_keep::commit;
use fw_keep::commit::Commit;
use fw_keep::commit::Reply;
use fw_keep::commit::Step;
use fw_keep::commit::Verdict;
use fw_keep::journal::keys;
use fw_keep::journal::replay;
use fw_keep::journal::replay::Replayed;
use fw_keep::journal::writer;
use fw_keep::journal::writer::Job;
use fw_keep::journal::writer::Writer;
use fw_keep::program::Outcome;
use fw_keep::shard::ClaimOutcome;
use fw_keep::shard::Position;
use fw_keep::shard::Shard;
use fw_store::kv;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;

use crate::fleet;
use crate::memory_store::Memory;

const ROOT: &str = "/t/";
const HOLDERS: usize = 3;
const SHARDS: u16 = 2;
const NOW: Duration = Duration::from_secs(1);

/// Outcome of a call to the store.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Answered,
    AnswerLost,
    /// Abandoned by the sender; the call may arrive later.
    Delayed,
    NotSent,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug)]
enum Event {
    Acquire {
        holder: usize,
        shard: u16,
    },
    Lapse {
        holder: usize,
    },
    Crash {
        holder: usize,
    },
    HandOver {
        holder: usize,
        shard: u16,
    },
    Turn {
        holder: usize,
        shard: u16,
    },
    Claim {
        holder: usize,
        shard: u16,
    },
    Settle {
        holder: usize,
        shard: u16,
        ran: bool,
    },
    Collect {
        holder: usize,
        snapshot: bool,
    },
    Call {
        holder: usize,
        delivery: Delivery,
    },
    Arrive {
        copy: usize,
    },
    Reacquire {
        holder: usize,
    },
}

/// Generates events only, without a reference state; the checks are in [`World`].
#[derive(Clone, Debug)]
struct EventGenerator;

impl ReferenceStateMachine for EventGenerator {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        let holder = 0..HOLDERS;
        let target = || (0..HOLDERS, 0..SHARDS);
        let delivery = prop_oneof![
            4 => Just(Delivery::Answered),
            2 => Just(Delivery::AnswerLost),
            2 => Just(Delivery::Delayed),
            1 => Just(Delivery::NotSent),
        ];
        prop_oneof![
            4 => target().prop_map(|(holder, shard)| Event::Acquire { holder, shard }),
            1 => holder.clone().prop_map(|holder| Event::Lapse { holder }),
            1 => holder.clone().prop_map(|holder| Event::Crash { holder }),
            1 => target().prop_map(|(holder, shard)| Event::HandOver { holder, shard }),
            5 => target().prop_map(|(holder, shard)| Event::Turn { holder, shard }),
            3 => target().prop_map(|(holder, shard)| Event::Claim { holder, shard }),
            2 => (target(), any::<bool>()).prop_map(|((holder, shard), ran)| Event::Settle {
                holder,
                shard,
                ran
            }),
            4 => (holder.clone(), prop::bool::weighted(0.2))
                .prop_map(|(holder, snapshot)| Event::Collect { holder, snapshot }),
            10 => (holder.clone(), delivery).prop_map(|(holder, delivery)| Event::Call {
                holder,
                delivery
            }),
            2 => (0..8_usize).prop_map(|copy| Event::Arrive { copy }),
            2 => holder.prop_map(|holder| Event::Reacquire { holder }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Event) {}
}

/// A shard in a holder's memory.
struct Kept {
    shard: Shard,
    writer: Writer,
    /// Turns finished here and not yet reported durable, by journal position.
    turns: BTreeMap<Position, Vec<(u32, Digest)>>,
    /// Claims made here and not yet reported durable, by journal position.
    claims: BTreeMap<Position, usize>,
    /// The claim that was granted to this holder and whose call has not ended.
    running: Option<usize>,
}

#[derive(Default)]
struct Holder {
    lease: kv::LeaseId,
    kept: BTreeMap<u16, Kept>,
    commit: Option<Commit>,
    upto: BTreeMap<u16, Position>,
    lapsed: Vec<Job>,
}

/// Results reported to callers, and the calls that callers sent.
#[derive(Default)]
struct Reported {
    /// Digest after each turn reported durable, by shard, with one program per shard. A turn whose answer
    /// was lost before its holder lost the shard is also durable, but was not reported.
    turns: BTreeMap<u16, BTreeMap<u32, Digest>>,
    /// Number of times each claimed call was sent.
    sent: BTreeMap<(u16, usize), u32>,
}

struct World {
    store: Memory,
    holders: Vec<Holder>,
    /// Delayed calls that may still arrive.
    copies: Vec<kv::Txn>,
    reported: Reported,
    nonce: u64,
    next_claim: usize,
}

fn program(shard: u16) -> smol_str::SmolStr {
    format!("p{shard}").into()
}

fn claim_key(claim: usize) -> fw_keep::claim::Key {
    fleet::key(&format!("k{claim}"))
}

/// Small segments, so that most group commits take several transactions.
fn options() -> writer::Options {
    writer::Options {
        max_payload: 700,
        ..writer::Options::default()
    }
}

impl World {
    fn new() -> Self {
        let mut store = Memory::new();
        let holder = |_| Holder {
            lease: store.grant(),
            ..Holder::default()
        };
        Self {
            holders: (0..HOLDERS).map(holder).collect(),
            store,
            copies: Vec::new(),
            reported: Reported::default(),
            nonce: 0,
            next_claim: 0,
        }
    }

    fn next_nonce(&mut self) -> u64 {
        self.nonce += 1;
        self.nonce
    }

    /// Creates the owner key if it is absent and the journal's head is as expected.
    fn create_owner_key(
        &mut self,
        holder: usize,
        shard: u16,
        head: Option<Option<Vec<u8>>>,
    ) -> Option<i64> {
        let owner = keys::owner(ROOT, shard);
        let mut compares = vec![kv::Compare::CreateRevision(owner.clone(), 0)];
        let head_key = keys::head(ROOT, shard);
        match head {
            Some(Some(value)) => compares.push(kv::Compare::Value(head_key, value)),
            Some(None) => compares.push(kv::Compare::CreateRevision(head_key, 0)),
            None => (),
        }
        let put = kv::Op::Put {
            key: owner,
            value: format!("h{holder}").into_bytes(),
            lease: self.holders[holder].lease,
        };
        let txn = kv::Txn {
            compares,
            then: vec![put],
            ..kv::Txn::default()
        };
        let done = self.store.txn(&txn)?;
        done.succeeded.then_some(done.revision)
    }

    fn read(&self, shard: u16) -> Replayed {
        let head = self.store.get(&keys::head(ROOT, shard)).map(|kv| kv.value);
        let segments = kv::Range::prefix(keys::segments(ROOT, shard));
        let values = self.store.range(&segments).kvs.into_iter();
        let values = values.map(|kv| (kv.key, kv.value)).collect();
        replay::read(ROOT, shard, head, values)
    }

    fn acquire(&mut self, holder: usize, shard: u16) {
        if self.holders[holder].kept.contains_key(&shard) {
            return;
        }
        let Some(fence) = self.create_owner_key(holder, shard, None) else {
            return;
        };
        let read = self.read(shard);
        let kept = Kept {
            writer: Writer::new(ROOT, shard, fence, read.head, read.stored_head, options()),
            shard: Shard::load(shard, read.items),
            turns: BTreeMap::new(),
            claims: BTreeMap::new(),
            running: None,
        };
        self.holders[holder].kept.insert(shard, kept);
    }

    /// Revokes the holder's lease; the holder is paused and does not notice.
    fn lapse(&mut self, holder: usize) {
        self.store.revoke(self.holders[holder].lease);
        self.holders[holder].lease = self.store.grant();
    }

    fn crash(&mut self, holder: usize) {
        self.lapse(holder);
        let lease = self.holders[holder].lease;
        self.holders[holder] = Holder {
            lease,
            ..Holder::default()
        };
    }

    fn hand_over(&mut self, holder: usize, shard: u16) {
        let me = &mut self.holders[holder];
        let is_flushed = |kept: &Kept| kept.shard.durable_position() >= kept.shard.last_position();
        let is_idle = |kept: &Kept| kept.running.is_none() && is_flushed(kept);
        let Some(kept) = me.kept.remove(&shard) else {
            return;
        };
        if !is_idle(&kept) {
            me.kept.insert(shard, kept);
            return;
        }
        let owner = keys::owner(ROOT, shard);
        let delete = kv::Txn {
            compares: vec![kv::Compare::CreateRevision(
                owner.clone(),
                kept.writer.fence(),
            )],
            then: vec![kv::Op::delete(owner)],
            ..kv::Txn::default()
        };
        self.store.txn(&delete).unwrap();
    }

    fn turn(&mut self, holder: usize, shard: u16) {
        let attempt = self.next_nonce();
        let Some(kept) = self.holders[holder].kept.get_mut(&shard) else {
            return;
        };
        let program = program(shard);
        let number = kept.shard.program(&program).map_or(1, |p| p.turn() + 1);
        let begin = fleet::delta(number, &format!("ask by {holder}"), attempt);
        let Outcome::Run(run) = kept.shard.begin(&program, begin, NOW) else {
            panic!("an idle program takes its next turn");
        };
        assert_eq!(run.turn, number);
        let answer = fleet::answer(&format!("{attempt} {}", "x".repeat(300)));
        let finished = kept.shard.finish(&program, attempt, answer, NOW).unwrap();
        let digest = kept.shard.program(&program).unwrap().digest();
        kept.turns
            .entry(finished.position)
            .or_default()
            .push((number, digest));
    }

    fn claim(&mut self, holder: usize, shard: u16) {
        // Repeats old keys as well as new ones.
        let claim = (self.next_nonce() as usize) % (self.next_claim + 1);
        self.next_claim = self.next_claim.max(claim + 1);
        let Some(kept) = self.holders[holder].kept.get_mut(&shard) else {
            return;
        };
        let body = fleet::fingerprint("body");
        if let ClaimOutcome::Opening { position } =
            kept.shard.open_claim(&claim_key(claim), body, NOW)
        {
            kept.claims.insert(position, claim);
        }
    }

    /// Ends the granted call of a holder, or marks it as not sent.
    fn settle(&mut self, holder: usize, shard: u16, ran: bool) {
        let Some(kept) = self.holders[holder].kept.get_mut(&shard) else {
            return;
        };
        let Some(claim) = kept.running.take() else {
            return;
        };
        let (key, body) = (claim_key(claim), fleet::fingerprint("body"));
        if ran {
            let answer = fw_keep::claim::Answer::default();
            kept.shard.claim_done(&key, body, answer, NOW).unwrap();
        } else {
            kept.shard.claim_not_run(&key, body).unwrap();
            self.reported.sent.remove(&(shard, claim));
        }
    }

    fn collect(&mut self, holder: usize, snapshot: bool) {
        let nonce = self.next_nonce();
        let me = &mut self.holders[holder];
        if me.commit.is_some() || !me.lapsed.is_empty() {
            return;
        }
        let mut jobs = Vec::new();
        for (shard, kept) in &mut me.kept {
            if kept.shard.pending() == 0 {
                continue;
            }
            let job = if snapshot {
                let batch = kept.shard.take_snapshot();
                me.upto.insert(*shard, batch.last_position);
                kept.writer.snapshot(&batch.entries, nonce)
            } else {
                let batch = kept.shard.take_batch().unwrap();
                me.upto.insert(*shard, batch.last_position);
                kept.writer.append(&batch.entries, nonce)
            };
            jobs.push(job);
        }
        let opts = commit::Options {
            max_bytes: 2_000,
            ..commit::Options::default()
        };
        me.commit = Some(Commit::new(jobs, opts));
    }

    fn call(&mut self, holder: usize, delivery: Delivery) {
        let Some(mut commit) = self.holders[holder].commit.take() else {
            return;
        };
        let txn = match commit.step() {
            Step::Done => return,
            Step::Write(txn) | Step::Read(txn) => txn,
        };
        let reply = match delivery {
            Delivery::Answered => Reply::Answer(self.store.txn(&txn).unwrap()),
            Delivery::AnswerLost => {
                self.store.txn(&txn).unwrap();
                Reply::Unknown
            }
            Delivery::Delayed => {
                self.copies.push(txn);
                Reply::Unknown
            }
            Delivery::NotSent => Reply::NotSent,
        };
        commit.handle_reply(reply);
        let verdicts = commit.take_verdicts();
        if commit.step() != Step::Done {
            self.holders[holder].commit = Some(commit);
        }
        for verdict in verdicts {
            self.apply_verdict(holder, verdict);
        }
    }

    fn apply_verdict(&mut self, holder: usize, verdict: Verdict) {
        match verdict {
            Verdict::Committed { shard } => self.durable(holder, shard),
            Verdict::Lapsed(job) => self.holders[holder].lapsed.push(job),
            Verdict::Lost { shard } => {
                self.holders[holder].kept.remove(&shard);
            }
            Verdict::Foreign { shard } => panic!("shard {shard} has a segment of another writer"),
        }
    }

    /// Reports durable changes to their callers.
    fn durable(&mut self, holder: usize, shard: u16) {
        let me = &mut self.holders[holder];
        let upto = me.upto[&shard];
        let Some(kept) = me.kept.get_mut(&shard) else {
            return;
        };
        kept.shard.mark_durable(upto);
        let later = kept.turns.split_off(&(upto + 1));
        let reported = self.reported.turns.entry(shard).or_default();
        for (number, digest) in std::mem::replace(&mut kept.turns, later)
            .into_values()
            .flatten()
        {
            let last = reported.last_key_value().map_or(0, |(last, _)| *last);
            assert!(
                number > last,
                "turn {number} became durable after turn {last}"
            );
            reported.insert(number, digest);
        }
        let later = kept.claims.split_off(&(upto + 1));
        for claim in std::mem::replace(&mut kept.claims, later).into_values() {
            if kept.shard.claim_opened(&claim_key(claim), NOW) {
                *self.reported.sent.entry((shard, claim)).or_default() += 1;
                kept.running = Some(claim);
            }
        }
    }

    fn arrive(&mut self, copy: usize) {
        if copy < self.copies.len() {
            let txn = self.copies.remove(copy);
            self.store.txn(&txn).unwrap();
        }
    }

    /// Reacquires lapsed shards; as in the keeper, only after the commit has ended for all its shards.
    fn reacquire(&mut self, holder: usize) {
        if self.holders[holder].commit.is_some() {
            return;
        }
        let mut jobs = Vec::new();
        for job in std::mem::take(&mut self.holders[holder].lapsed) {
            let shard = job.shard;
            match self.create_owner_key(holder, shard, Some(job.expected_head.clone())) {
                Some(fence) => {
                    let kept = self.holders[holder].kept.get_mut(&shard).unwrap();
                    kept.writer.set_fence(fence);
                    jobs.push(Job { fence, ..job });
                }
                None => {
                    self.holders[holder].kept.remove(&shard);
                }
            }
        }
        if !jobs.is_empty() {
            assert!(self.holders[holder].commit.is_none());
            self.holders[holder].commit = Some(Commit::new(jobs, commit::Options::default()));
        }
    }

    /// Checks that the store's content agrees with the results reported to callers.
    fn check(&self) {
        for shard in 0..SHARDS {
            let read = self.read(shard);
            assert!(!read.is_damaged(), "{:?}", read.items);
            let stored = Shard::load(shard, read.items);
            let reported = self.reported.turns.get(&shard);
            let Some(reported) = reported.filter(|reported| !reported.is_empty()) else {
                continue;
            };
            let found = stored.program(&program(shard));
            let history = found.expect("a durable program is stored").history();
            for (number, expected) in reported {
                let messages = 2 * *number as usize;
                let turns = history.get(..messages);
                let turns = turns.expect("a durable turn was lost");
                let digest = Digest::EMPTY.extend_all(turns);
                assert_eq!(digest, *expected, "durable turn {number} was changed");
            }
        }
        for (claim, sent) in &self.reported.sent {
            assert!(*sent <= 1, "claim {claim:?} was sent {sent} times");
        }
    }
}

struct Test;

impl StateMachineTest for Test {
    type SystemUnderTest = World;
    type Reference = EventGenerator;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), event: Event) -> World {
        match event {
            Event::Acquire { holder, shard } => world.acquire(holder, shard),
            Event::Lapse { holder } => world.lapse(holder),
            Event::Crash { holder } => world.crash(holder),
            Event::HandOver { holder, shard } => world.hand_over(holder, shard),
            Event::Turn { holder, shard } => world.turn(holder, shard),
            Event::Claim { holder, shard } => world.claim(holder, shard),
            Event::Settle { holder, shard, ran } => world.settle(holder, shard, ran),
            Event::Collect { holder, snapshot } => world.collect(holder, snapshot),
            Event::Call { holder, delivery } => world.call(holder, delivery),
            Event::Arrive { copy } => world.arrive(copy),
            Event::Reacquire { holder } => world.reacquire(holder),
        }
        world
    }

    fn check_invariants(world: &World, (): &()) {
        world.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_202),
        max_shrink_iters: 2_000,
        ..Config::default()
    })]

    #[test]
    fn nothing_durable_is_lost_and_nothing_runs_twice(sequential 50..200 => Test);
}
