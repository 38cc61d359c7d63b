//! What a replica knows of cached prompt prefixes.

use fw_plan::prefix::{Engine, Part};
use fw_replica::prefix::{Report, Table};
use fw_replica::service::Replica;
use fw_replica::{affinity, server, service};
use googletest::prelude::*;

fn part(digest: u32, tokens: u32) -> Part {
    Part { digest, tokens }
}

fn report(id: u16, parts: &[Part]) -> Report {
    Report {
        engine: Engine { id, run: 1 },
        capacity: 64_000,
        parts: parts.to_vec(),
    }
}

// Guards against a reply that leaves out the engine with the context because many engines have the shared prefix,
// and against replies as long as the list of engines.
#[gtest]
fn name_the_engines_with_most_of_the_prompt() {
    let table = Table::default();
    let (root, session) = (part(1, 1_000), part(2, 3_000));
    for id in 1..=30 {
        table.record(&report(id, &[root]), false);
    }
    table.record(&report(17, &[root, session]), false);
    let holders = table.holders(&[root, part(2, 3_200)]);
    expect_that!(holders.len(), eq(4));
    expect_that!(holders[0].engine.id, eq(17));
    expect_that!(holders[0].tokens, eq(4_000));
    expect_that!(table.holders(&[]), is_empty());
}

// Guards against sending all programs of a shared prefix to the same few engines.
#[gtest]
fn name_other_engines_to_each_session() {
    let table = Table::default();
    for id in 1..=30 {
        table.record(&report(id, &[part(1, 1_000)]), false);
    }
    let named = (100..150).flat_map(|session| table.holders(&[part(1, 1_000), part(session, 10)]));
    let mut named: Vec<_> = named.map(|holder| holder.engine.id).collect();
    named.sort_unstable();
    named.dedup();
    expect_that!(named.len(), ge(25));
}

// Guards against replies that send the repetition of a broken turn to where it broke.
#[gtest]
fn forget_broken_turns() {
    let table = Table::default();
    let parts = [part(1, 1_000), part(2, 3_000)];
    table.record(&report(7, &parts), false);
    table.record(&report(7, &parts), true);
    expect_that!(table.holders(&parts), is_empty());
}

// Guards against near replicas that store turns as members of a write quorum but do not learn where the prompts of
// these turns are cached.
#[gtest]
#[tokio::test]
async fn arrive_with_turns_for_a_write_quorum() {
    let dir = tempfile::tempdir().unwrap();
    let shared = server::Shared::open(dir.path(), server::Options::default()).unwrap();
    shared.set_voting(true);
    let server = server::Server(shared);
    let parts = vec![part(1, 1_000), part(2, 3_000)];
    let finish = service::Finish {
        turn: None,
        charge: None,
        location: Some(affinity::Location {
            lineage: affinity::Lineage::default(),
            upstream: 7,
            prefix: Some(report(7, &parts)),
        }),
    };
    let cx = tarpc::context::current;
    expect_true!(server.clone().finish_quorum(cx(), 0, finish).await);
    let begin = service::Begin {
        epoch: 0,
        reserve: None,
        chain: None,
        load: service::Load::default(),
        wants_peer_state: false,
        lineage: affinity::Lineage::default(),
        usage: None,
        omits_load: false,
        parts,
    };
    let holders = server.begin(cx(), begin).await.holders;
    expect_that!(
        holders.iter().map(|h| h.engine.id).collect::<Vec<_>>(),
        eq(&vec![7])
    );
}
