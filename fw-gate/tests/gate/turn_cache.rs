//! The cache of turns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fw_gate::process::turn_cache::TurnCache;
use fw_replica::record::Turn;
use googletest::prelude::*;

fn turn(id: usize, size: usize) -> Arc<Turn> {
    Arc::new(Turn {
        id: id.to_string().into(),
        parent: (id > 0).then(|| (id - 1).to_string().into()),
        input: vec![b'x'; size].into(),
        output: "o".into(),
        ended: 0,
        retention: Duration::from_secs(60),
    })
}

#[gtest]
fn return_the_cached_part_of_a_chain() {
    let turns = TurnCache::default();
    turns.put(turn(1, 10));
    turns.put(turn(2, 10));
    let chain = turns.chain(Some(&"2".into()));
    expect_that!(chain.turns.len(), eq(2));
    expect_that!(chain.missing.as_deref(), some(eq("0")));
    turns.put(turn(0, 10));
    expect_that!(turns.chain(Some(&"2".into())).missing, none());
    expect_that!(turns.chain(None).missing, none());
}

#[gtest]
fn are_bounded_and_forget_the_oldest() {
    let turns = TurnCache::default();
    (0..100).for_each(|id| turns.put(turn(id, 50_000)));
    let chain = turns.chain(Some(&"99".into()));
    expect_that!(chain.turns.len(), all!(ge(10), le(25)));
}

// Guards against cached turns that keep the whole read buffers that they came in.
#[gtest]
fn keep_no_read_buffers() {
    let turns = TurnCache::default();
    let read_buffer = Bytes::from(vec![b'x'; 32 << 10]);
    let mut read = Turn::clone(&turn(1, 0));
    read.input = read_buffer.slice(..10);
    turns.put(Arc::new(read));
    expect_that!(turns.chain(Some(&"1".into())).turns.len(), eq(1));
    expect_true!(read_buffer.is_unique());
}
