//! Encoding of segments and heads: round trips, and rejection of any other value with its reason.

use fw_keep::journal::keys;
use fw_keep::journal::replay;
use fw_keep::journal::segment::Corrupt;
use fw_keep::journal::segment::Head;
use fw_keep::journal::segment::Segment;
use googletest::prelude::*;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// Value of a head, and keys and values of segments.
type Values = (Option<Vec<u8>>, Vec<(String, Vec<u8>)>);

fn runner() -> TestRunner {
    let config = Config {
        cases: 512,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    TestRunner::new_with_rng(config, rng)
}

fn segment(payload: Vec<u8>) -> Segment {
    Segment {
        shard: 3,
        generation: 1,
        seq: 5,
        fence: 40,
        nonce: 9,
        part: 0,
        parts: 1,
        snapshot: false,
        payload,
    }
}

fn decode(value: &[u8]) -> std::result::Result<Segment, Corrupt> {
    Segment::decode("key", 3, 1, 5, value)
}

#[gtest]
fn segments_read_back_as_written() {
    let round_trip = |payload: Vec<u8>| {
        let written = segment(payload);
        prop_assert_eq!(decode(&written.encode()).unwrap(), written);
        Ok(())
    };
    runner()
        .run(&vec(any::<u8>(), 0..2_000), round_trip)
        .unwrap();
}

#[gtest]
fn any_changed_or_cut_value_is_torn() {
    let encoded = segment(vec![1; 100]).encode();
    let damage = (0..encoded.len(), 1..=255_u8, any::<bool>());
    let is_torn = |(at, flip, cut): (usize, u8, bool)| {
        let mut value = encoded.clone();
        if cut {
            value.truncate(at);
        } else {
            value[at] ^= flip;
        }
        let found = decode(&value);
        prop_assert!(matches!(found, Err(Corrupt::Torn { .. })), "{found:?}");
        Ok(())
    };
    runner().run(&damage, is_torn).unwrap();
}

/// Arbitrary bytes with a valid checksum, as an older or malicious writer could leave them: the
/// decoder must neither panic nor allocate as much as a length field claims.
#[gtest]
fn garbage_with_a_valid_checksum_is_refused() {
    let refused = |(valid_magic, body): (bool, Vec<u8>)| {
        let mut value = if valid_magic {
            b"fwj1".to_vec()
        } else {
            b"fwj9".to_vec()
        };
        value.extend(body);
        let sum = blake3::hash(&value);
        value.extend_from_slice(sum.as_bytes());
        prop_assert!(decode(&value).is_err() || valid_magic);
        let _ = Head::decode("key", 3, &value);
        Ok(())
    };
    let body = vec(prop_oneof![Just(0xff_u8), any::<u8>()], 0..300);
    runner().run(&(any::<bool>(), body), refused).unwrap();
}

#[gtest]
fn arbitrary_journals_are_read_without_a_panic() {
    let key = (0..4_u64, 0..4_u64).prop_map(|(g, s)| keys::segment("/t/", 3, g, s));
    let value = prop_oneof![
        vec(any::<u8>(), 0..64),
        vec(any::<u8>(), 0..64).prop_map(|payload| segment(payload).encode()),
    ];
    let head = prop_oneof![
        Just(None),
        vec(any::<u8>(), 0..64).prop_map(Some),
        (0..4_u64, 0..9_u64).prop_map(|(generation, next_seq)| {
            let head = Head {
                shard: 3,
                generation,
                next_seq,
                ..Head::default()
            };
            Some(head.encode())
        }),
    ];
    let journal = (head, vec((key, value), 0..6));
    let read_journal = |(head, values): Values| {
        replay::read("/t/", 3, head, values);
        Ok(())
    };
    runner().run(&journal, read_journal).unwrap();
}

#[gtest]
fn a_value_of_another_key_is_foreign() {
    let value = segment(vec![1]).encode();
    for (shard, generation, seq) in [(4, 1, 5), (3, 2, 5), (3, 1, 6)] {
        let found = Segment::decode("key", shard, generation, seq, &value);
        expect_that!(found, err(pat!(Corrupt::Foreign { .. })));
    }
    let head = Head {
        shard: 4,
        ..Head::default()
    };
    let found = Head::decode("key", 3, &head.encode());
    expect_that!(found, err(pat!(Corrupt::Foreign { .. })));
    let found = Head::decode("key", 3, &value);
    expect_that!(found, err(pat!(Corrupt::Format { .. })));
}
