//! State-machine test of a replica's disk under any series of writes, losses of power, torn writes
//! and removals.
//!
//! The model holds all acknowledged records. The replica must always have those whose retention is
//! not over: each turn in full, each program's charges, the member list and whether it may vote.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::Arc;
use std::time::Duration;

use fw_replica::service::Replica as _;
use fw_replica::{journal, member, record, server};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

/// Small enough for a few records to fill a segment.
const SEGMENT: u32 = 600;
const PROGRAMS: u8 = 3;
/// Retention of the model's turns.
const KEEP: Duration = Duration::from_secs(60);

/// A step of the test.
#[derive(Clone, Debug)]
enum Step {
    /// A turn is stored.
    Turn { size: u16 },
    /// Some tokens of a program are reserved, or settled.
    Charge { program: u8, settled: bool },
    /// A newer member list is received.
    Members,
    /// The replica may vote, or may no longer.
    Synced(bool),
    /// Time passes, and expired records are dropped.
    Pass { seconds: u16 },
    /// Power fails. Behind the synced part the disk may hold anything.
    Crash { torn: Vec<u8> },
}

/// The acknowledged records.
#[derive(Clone, Debug, Default)]
struct Model {
    /// Seconds since the first start.
    now: u64,
    steps: u64,
    /// The end and the input length of each turn.
    turns: BTreeMap<u64, (u64, u16)>,
    /// The charges of each program, and the time of its last charge.
    programs: BTreeMap<u8, (BTreeSet<u64>, u64)>,
    epoch: u64,
    synced: bool,
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        prop_oneof![
            6 => (0..400_u16).prop_map(|size| Step::Turn { size }),
            6 => (0..PROGRAMS, any::<bool>())
                .prop_map(|(program, settled)| Step::Charge { program, settled }),
            1 => Just(Step::Members),
            1 => any::<bool>().prop_map(Step::Synced),
            4 => (1..150_u16).prop_map(|seconds| Step::Pass { seconds }),
            2 => proptest::collection::vec(any::<u8>(), 0..40)
                .prop_map(|torn| Step::Crash { torn }),
        ]
        .boxed()
    }

    fn apply(mut model: Self, step: &Step) -> Self {
        model.steps += 1;
        match step {
            Step::Turn { size } => {
                model.turns.insert(model.steps, (model.now, *size));
            }
            Step::Charge { program, .. } => {
                let (turns, charged) = model.programs.entry(*program).or_default();
                turns.insert(model.steps);
                *charged = model.now;
            }
            Step::Members => model.epoch += 1,
            Step::Synced(synced) => model.synced = *synced,
            Step::Pass { seconds } => {
                model.now += u64::from(*seconds);
                let now = model.now;
                let keep = (KEEP + record::RETENTION_SLACK).as_secs();
                model.turns.retain(|_, (ended, _)| *ended + keep > now);
                let keep = record::CHARGE_RETENTION.as_secs();
                model
                    .programs
                    .retain(|_, (_, charged)| *charged + keep > now);
            }
            Step::Crash { .. } => {}
        }
        model
    }
}

/// The replica, and the start of the model's clock.
struct Replica {
    dir: tempfile::TempDir,
    shared: Option<Arc<server::Shared>>,
    runtime: tokio::runtime::Runtime,
    /// Time 0 of the model. Turns end so late that none expires when the replica is opened.
    start: record::UnixMs,
}

impl Replica {
    fn shared(&self) -> &Arc<server::Shared> {
        self.shared.as_ref().unwrap()
    }

    fn at(&self, seconds: u64) -> record::UnixMs {
        self.start + seconds * 1_000
    }

    fn open(&mut self) {
        let shared = server::Shared::open(self.dir.path(), opts()).unwrap();
        self.shared = Some(shared);
    }
}

fn opts() -> server::Options {
    server::Options {
        journal: journal::Options {
            segment_bytes: SEGMENT,
        },
        ..server::Options::default()
    }
}

fn turn(id: u64, ended: record::UnixMs, size: u16) -> record::Turn {
    record::Turn {
        id: id.to_string().into(),
        parent: None,
        input: vec![b'i'; usize::from(size)].into(),
        output: "o\n".into(),
        ended,
        retention: KEEP,
    }
}

impl StateMachineTest for Replica {
    type SystemUnderTest = Self;
    type Reference = Model;

    fn init_test(_: &Model) -> Self {
        let mut replica = Self {
            dir: tempfile::tempdir().unwrap(),
            shared: None,
            runtime: tokio::runtime::Builder::new_current_thread()
                .build()
                .unwrap(),
            // Opening expires records by the process's clock, which stays near the model's start: it
            // drops no record that the model still has.
            start: server::unix_ms(),
        };
        replica.open();
        replica
    }

    fn apply(mut replica: Self, model: &Model, step: Step) -> Self {
        let now = replica.at(model.now);
        let shared = Arc::clone(replica.shared());
        let stored = match step {
            Step::Turn { size } => {
                let turn = record::Record::Turn(turn(model.steps, now, size));
                replica.runtime.block_on(shared.store(turn))
            }
            Step::Charge { program, settled } => {
                let charge = record::Record::Charge(record::Charge {
                    program: program.to_string().into(),
                    id: model.steps.to_string().into(),
                    tokens: 1,
                    settled,
                    made: now,
                });
                replica.runtime.block_on(shared.store(charge))
            }
            Step::Members => {
                let view = member::View {
                    epoch: model.epoch,
                    list: member::List::default(),
                };
                replica.runtime.block_on(shared.update_view(view))
            }
            Step::Synced(synced) => replica.runtime.block_on(shared.mark_synced(synced)),
            Step::Pass { .. } => {
                // Each call removes one segment at most.
                for _ in 0..20 {
                    replica.runtime.block_on(shared.expire(now));
                }
                true
            }
            Step::Crash { torn } => {
                drop(shared);
                replica.shared = None;
                let newest = newest_segment(replica.dir.path());
                let mut file = std::fs::File::options().append(true).open(newest).unwrap();
                file.write_all(&torn).unwrap();
                replica.open();
                true
            }
        };
        assert!(stored, "the disk took it");
        replica
    }

    fn check_invariants(replica: &Self, model: &Model) {
        let shared = replica.shared();
        for (id, (ended, size)) in &model.turns {
            let server = server::Server(Arc::clone(shared));
            let ids = vec![id.to_string().into()];
            let found = server.fetch(tarpc::context::current(), ids);
            let found = replica.runtime.block_on(found);
            assert_eq!(found, [turn(*id, replica.at(*ended), *size)]);
        }
        for (program, (turns, _)) in &model.programs {
            let ledger = shared.ledger(&program.to_string().into());
            let known: BTreeSet<u64> = ledger
                .iter()
                .map(|line| line.charge.parse().unwrap())
                .collect();
            assert!(known.is_superset(turns), "{known:?} of {turns:?}");
        }
        assert_eq!(shared.view().borrow().epoch, model.epoch);
        assert_eq!(shared.is_synced(), model.synced);
    }
}

fn newest_segment(dir: &std::path::Path) -> std::path::PathBuf {
    let entries = std::fs::read_dir(dir).unwrap();
    let paths = entries.map(|entry| entry.unwrap().path());
    let segments = paths.filter(|path| path.extension().is_some_and(|kind| kind == "log"));
    segments.max().unwrap()
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        max_shrink_iters: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn loses_nothing_that_was_acknowledged(sequential 1..60 => Replica);
}
