//! Journals after a loss of power.

use fw_replica::{journal, record};
use googletest::prelude::*;
use proptest::prelude::*;

fn charge(turn: usize) -> record::Record {
    record::Record::Charge(record::Charge {
        program: "p".into(),
        turn: turn.to_string().into(),
        tokens: turn as u64,
        settled: false,
        made: 0,
    })
}

fn read(dir: &std::path::Path) -> Vec<record::Record> {
    let mut all = Vec::new();
    let _journal = journal::Journal::open(dir, |record, _| all.push(record)).unwrap();
    all
}

fn frames(turns: std::ops::Range<usize>) -> Vec<u8> {
    let mut buf = Vec::new();
    for turn in turns {
        journal::encode(&charge(turn), &mut buf).unwrap();
    }
    buf
}

#[gtest]
fn keeps_what_was_synced_and_goes_on_after_it() {
    // Power fails in the middle of a write: behind what was synced lies a part of a frame. The
    // replica must start, with all that it had acknowledged, and what it writes next must be read.
    let dir = tempfile::tempdir().unwrap();
    let mut journal = journal::Journal::open(dir.path(), |_, _| {}).unwrap();
    journal.append(&frames(0..3)).unwrap();
    drop(journal);
    let path = dir.path().join("records.log");
    let mut bytes = std::fs::read(&path).unwrap();
    let torn = frames(3..4);
    bytes.extend_from_slice(&torn[..torn.len() - 1]);
    std::fs::write(&path, &bytes).unwrap();
    let mut journal = journal::Journal::open(dir.path(), |_, _| {}).unwrap();
    let at = journal.append(&frames(9..10)).unwrap();
    let reader = journal.reader().unwrap();
    let len = (frames(9..10).len() - 12) as u32;
    let place = journal::Place { at: at + 12, len };
    expect_that!(reader.read(place).unwrap(), eq(&charge(9)));
    drop(journal);
    expect_that!(
        read(dir.path()),
        elements_are![
            eq(&charge(0)),
            eq(&charge(1)),
            eq(&charge(2)),
            eq(&charge(9))
        ]
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn any_damage_behind_the_synced_part_loses_nothing_of_it(
        tail in proptest::collection::vec(any::<u8>(), 0..200),
        cut in 0_usize..200,
    ) {
        let dir = tempfile::tempdir().unwrap();
        let mut bytes = frames(0..3);
        let mut later = frames(3..6);
        later.truncate(cut.min(later.len()));
        bytes.extend_from_slice(&later);
        bytes.extend_from_slice(&tail);
        std::fs::write(dir.path().join("records.log"), &bytes).unwrap();
        let all = read(dir.path());
        prop_assert!(all.len() >= 3);
        prop_assert_eq!(&all[..3], &[charge(0), charge(1), charge(2)][..]);
    }
}
