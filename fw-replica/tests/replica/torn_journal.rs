//! Journals after a loss of power.

use fw_replica::{journal, record};
use googletest::prelude::*;
use proptest::prelude::*;

fn charge(turn: usize) -> record::Record {
    record::Record::Charge(record::Charge {
        program: "p".into(),
        id: turn.to_string().into(),
        tokens: turn as u64,
        settled: false,
        made: 0,
    })
}

fn open(
    dir: &std::path::Path,
    each: impl FnMut(record::Record, journal::Place),
) -> journal::Journal {
    journal::Journal::open(dir, journal::Options::default(), each).unwrap()
}

/// Path of the first segment of a new journal.
fn first(dir: &std::path::Path) -> std::path::PathBuf {
    dir.join("records-00000001.log")
}

fn read(dir: &std::path::Path) -> Vec<record::Record> {
    let mut all = Vec::new();
    let _journal = open(dir, |record, _| all.push(record));
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
    // Power fails in the middle of a write, which leaves a part of a frame behind the synced part.
    // The replica must start with all that it had acknowledged, and later writes must be readable.
    let dir = tempfile::tempdir().unwrap();
    let mut journal = open(dir.path(), |_, _| {});
    journal
        .append(&(0..3).map(charge).collect::<Vec<_>>())
        .unwrap();
    drop(journal);
    let path = first(dir.path());
    let mut bytes = std::fs::read(&path).unwrap();
    let torn = frames(3..4);
    bytes.extend_from_slice(&torn[..torn.len() - 1]);
    std::fs::write(&path, &bytes).unwrap();
    let mut journal = open(dir.path(), |_, _| {});
    let places = journal.append(&[charge(9)]).unwrap();
    let len = (frames(9..10).len() - 12) as u32;
    let place = journal::Place {
        segment: 1,
        at: frames(0..3).len() as u32 + 12,
        len,
    };
    expect_that!(places, elements_are![some(eq(&place))]);
    expect_that!(journal.files().read(place).unwrap(), eq(&charge(9)));
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
        std::fs::write(first(dir.path()), &bytes).unwrap();
        let all = read(dir.path());
        prop_assert!(all.len() >= 3);
        prop_assert_eq!(&all[..3], &[charge(0), charge(1), charge(2)][..]);
    }
}
