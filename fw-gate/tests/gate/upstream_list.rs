//! The list of upstreams, and the choice among them.

use std::sync::Arc;
use std::time::Duration;

use fw_gate::process::features;
use fw_gate::process::fleet::{
    self, Affinity, Change, Criteria, Fleet, ListUpdate, ListedUpstream, Load,
};
use fw_plan::health::Observation;
use fw_plan::{confirm, lapse, quarantine};
use fw_replica::affinity;
use googletest::prelude::*;

pub(crate) fn listed(id: &str) -> ListedUpstream {
    ListedUpstream {
        id: id.into(),
        service: "s".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        place: "a".into(),
        version: "v1".into(),
        slots: 2,
        takes_work: true,
        started_at: 1,
    }
}

pub(crate) fn fleet() -> Arc<Fleet> {
    Fleet::new(
        "a".into(),
        lapse::Options::default(),
        confirm::Options::default(),
        features::Features::default(),
    )
}

/// A read that was made `ago` milliseconds ago.
fn read(as_of: u64, ago: u64) -> Option<fleet::StoreRead> {
    let ago = Duration::from_millis(ago);
    Some(fleet::StoreRead { as_of, ago })
}

pub(crate) fn is_used(fleet: &Arc<Fleet>) -> bool {
    fleet.choose(&"s".into(), &Criteria::default()).is_ok()
}

// Guards against a service that loses all upstreams because their entries expired while the store was
// unavailable.
#[gtest]
fn loses_a_lapsed_upstream_only_when_it_has_had_time_to_come_back() {
    let fleet = fleet();
    fleet.apply(read(1, 10_000), ListUpdate::Full(vec![listed("x")]));
    fleet.apply(read(2, 3_000), ListUpdate::Full(vec![]));
    expect_true!(is_used(&fleet));
    fleet.apply(read(2, 1_000), ListUpdate::Changes(vec![]));
    expect_true!(is_used(&fleet));
    // It is not published to other entries as listed.
    expect_that!(fleet.listing(), is_empty());
    fleet.apply(read(2, 700), ListUpdate::Changes(vec![]));
    expect_false!(is_used(&fleet));
}

// Guards against an upstream that is dropped although it was listed again in time.
#[gtest]
fn keeps_a_lapsed_upstream_that_is_back() {
    let fleet = fleet();
    fleet.apply(read(1, 10_000), ListUpdate::Full(vec![listed("x")]));
    fleet.apply(read(2, 3_000), ListUpdate::Full(vec![]));
    fleet.apply(
        read(3, 2_000),
        ListUpdate::Changes(vec![Change::Put(listed("x"))]),
    );
    fleet.apply(read(3, 500), ListUpdate::Changes(vec![]));
    expect_true!(is_used(&fleet));
    expect_that!(fleet.listing().len(), eq(1));
}

// Guards against calls to an upstream that leaves shortly after an outage.
#[gtest]
fn loses_an_upstream_at_once_that_leaves_after_an_outage() {
    let fleet = fleet();
    fleet.apply(read(1, 10_000), ListUpdate::Full(vec![listed("x")]));
    fleet.apply(read(2, 1_000), ListUpdate::Full(vec![listed("x")]));
    fleet.apply(
        read(3, 500),
        ListUpdate::Changes(vec![Change::Removed("x".into())]),
    );
    expect_false!(is_used(&fleet));
}

// Guards against an entry that alone was cut off from the store and keeps using an upstream that left
// meanwhile.
#[gtest]
fn loses_an_upstream_that_left_while_only_this_entry_was_cut_off() {
    let fleet = fleet();
    fleet.apply(read(1, 10_000), ListUpdate::Full(vec![listed("x")]));
    fleet.apply(read(9, 100), ListUpdate::Full(vec![]));
    expect_true!(is_used(&fleet));
    fleet.note_reads(Duration::from_secs(60), Duration::from_millis(300));
    fleet.apply(None, ListUpdate::Changes(vec![]));
    expect_false!(is_used(&fleet));
}

// Guards against a late heartbeat that puts a leaving upstream back into use.
#[gtest]
fn gives_no_work_to_one_that_leaves_until_it_restarts() {
    let fleet = fleet();
    let leaving = ListedUpstream {
        takes_work: false,
        ..listed("x")
    };
    fleet.put(listed("x"));
    fleet.put(leaving);
    fleet.put(listed("x"));
    expect_false!(is_used(&fleet));
    fleet.put(ListedUpstream {
        started_at: 2,
        ..listed("x")
    });
    expect_true!(is_used(&fleet));
}

#[gtest]
fn sends_nothing_to_one_that_leaves_or_failed_the_call() {
    let fleet = fleet();
    fleet.put(listed("x"));
    fleet.put(ListedUpstream {
        takes_work: false,
        ..listed("y")
    });
    for _ in 0..20 {
        let lease = fleet.choose(&"s".into(), &Criteria::default()).unwrap();
        expect_that!(lease.id, eq("x"));
    }
    let avoid = ["x".into()];
    let criteria = Criteria {
        avoid: &avoid,
        ..Criteria::default()
    };
    expect_that!(fleet.choose(&"s".into(), &criteria), err(anything()));
}

// Guards against a suspect that is sent where it failed before, and against its refusal where there is no other upstream.
#[gtest]
fn sends_a_suspect_elsewhere_if_there_is_another() {
    let fleet = fleet();
    fleet.put(listed("x"));
    let avoid = [quarantine::upstream_hash(&"x".into())];
    let criteria = Criteria {
        avoid_if_possible: &avoid,
        ..Criteria::default()
    };
    expect_that!(fleet.choose(&"s".into(), &criteria).unwrap().id, eq("x"));
    fleet.put(listed("y"));
    for _ in 0..20 {
        expect_that!(fleet.choose(&"s".into(), &criteria).unwrap().id, eq("y"));
    }
}

// A call fails at the only upstream in use; the others are ejected, but may have recovered. Guards against
// refusing it for want of an upstream while a first attempt would be sent to an ejected one.
#[gtest]
fn sends_a_call_that_failed_to_an_ejected_one_if_there_is_no_other() {
    let fleet = fleet();
    for id in ["x", "y", "z"] {
        fleet.put(listed(id));
    }
    for id in ["y", "z"] {
        let lease = fleet.lease_again(&"s".into(), &id.into(), None).unwrap();
        lease.record_health(Observation::Down);
    }
    let lease = fleet.choose(&"s".into(), &Criteria::default()).unwrap();
    expect_that!(lease.id, eq("x"));
    let avoid = ["x".into()];
    let criteria = Criteria {
        avoid: &avoid,
        ..Criteria::default()
    };
    let lease = fleet.choose(&"s".into(), &criteria).unwrap();
    expect_that!(lease.id, not(eq("x")));
}

#[gtest]
fn resets_the_state_of_a_restarted_one() {
    // An upstream crashes and restarts under the same id. The load that it reported and its failures are
    // those of the previous process.
    let fleet = fleet();
    fleet.put(listed("x"));
    fleet.put(listed("y"));
    let lease = fleet.lease_again(&"s".into(), &"x".into(), None).unwrap();
    lease.record_load(Load {
        running: 2,
        waiting: 30,
        percent: None,
    });
    drop(lease);
    for _ in 0..10 {
        let lease = fleet.choose(&"s".into(), &Criteria::default()).unwrap();
        expect_that!(lease.id, eq("y"));
        lease.record_health(Observation::Answered);
    }
    fleet.put(ListedUpstream {
        started_at: 2,
        ..listed("x")
    });
    let ids: Vec<_> = (0..40)
        .map(|_| {
            fleet
                .choose(&"s".into(), &Criteria::default())
                .unwrap()
                .id
                .clone()
        })
        .collect();
    expect_that!(ids, contains(eq("x")));
}

#[gtest]
fn counts_calls_in_flight() {
    let fleet = fleet();
    fleet.put(listed("x"));
    fleet.put(listed("y"));
    let leases: Vec<_> = (0..8)
        .map(|_| fleet.choose(&"s".into(), &Criteria::default()).unwrap())
        .collect();
    let at_x = leases.iter().filter(|lease| lease.id == "x").count();
    expect_that!(at_x, eq(4));
}

#[gtest]
fn counts_the_calls_of_other_entries() {
    // Two entries each send a burst to the same two upstreams. Unless they count each other's calls, both
    // begin with the same one, and calls queue there while the other is idle.
    let one = fleet();
    let two = fleet();
    for fleet in [&one, &two] {
        fleet.put(listed("x"));
        fleet.put(listed("y"));
    }
    let busy: Vec<_> = (0..4)
        .map(|_| one.lease_again(&"s".into(), &"x".into(), None).unwrap())
        .collect();
    two.set_other_calls(&one.load().calls);
    for _ in 0..3 {
        let lease = two.choose(&"s".into(), &Criteria::default()).unwrap();
        expect_that!(lease.id, eq("y"));
    }
    drop(busy);
    expect_that!(one.load().calls, is_empty());
}

fn turn(session: Option<&str>) -> Criteria<'static> {
    let lineage = affinity::Lineage {
        session: session.map(Into::into),
        program: Some("p".into()),
    };
    Criteria {
        affinity: Affinity::Prompt {
            lineage,
            tokens: 2_000,
        },
        ..Criteria::default()
    }
}

/// A fleet of so many upstreams that a random choice rarely hits the right one.
fn many() -> std::sync::Arc<Fleet> {
    let fleet = fleet();
    for at in 0..30 {
        fleet.put(listed(&format!("u{at}")));
    }
    fleet
}

#[gtest]
fn follows_a_session_that_came_through_another_entry() {
    // A session's second turn comes in through another entry than the first. Guards against that entry
    // sending it to any upstream, where the whole prompt is prefilled again: at a large deployment five of six
    // turns missed the engine that had it cached.
    let fleet = many();
    let lineage = affinity::Lineage {
        session: Some("s".into()),
        program: None,
    };
    for id in ["u7", "u21"] {
        let last = affinity::LastUpstreams {
            session: Some(fleet::short_hash(&id.into(), 1)),
            program: None,
        };
        fleet.set_last_upstreams(&lineage, last);
        let lease = fleet.choose(&"s".into(), &turn(Some("s"))).unwrap();
        expect_that!(lease.id, eq(id));
    }
}

#[gtest]
fn ignores_where_tools_ran() {
    // Between two turns a program calls tools, whose requests name the same session and program. They run at
    // another service, so the upstreams that ran them do not have the prompt cached.
    let fleet = many();
    let tools = ListedUpstream {
        service: "tools".into(),
        ..listed("tool")
    };
    fleet.put(tools);
    let first = fleet.choose(&"s".into(), &turn(Some("s"))).unwrap();
    let object = "17".into();
    let call = Criteria {
        affinity: Affinity::Object(&object),
        ..Criteria::default()
    };
    fleet.choose(&"tools".into(), &call).unwrap();
    fleet.choose(&"tools".into(), &Criteria::default()).unwrap();
    let second = fleet.choose(&"s".into(), &turn(Some("s"))).unwrap();
    expect_that!(second.id, eq(&first.id));
}

#[gtest]
fn agrees_with_other_entries_where_an_object_goes() {
    // An upstream that recently handled an object is twice as fast. If each entry chooses for itself, the
    // object's calls are spread over all upstreams, and none keeps it cached.
    let object = "17".into();
    let criteria = Criteria {
        affinity: Affinity::Object(&object),
        ..Criteria::default()
    };
    let ids: Vec<_> = (0..5)
        .map(|_| {
            let fleet = many();
            // Sets the mean duration of a call to some ten milliseconds.
            let lease = fleet.choose(&"s".into(), &criteria).unwrap();
            std::thread::sleep(std::time::Duration::from_millis(20));
            lease.complete(None);
            drop(lease);
            fleet.choose(&"s".into(), &criteria).unwrap().id.clone()
        })
        .collect();
    expect_true!(ids.iter().all(|id| *id == ids[0]), "{ids:?}");
}

#[gtest]
fn follows_a_program_whose_sub_agents_come_through_another_entry() {
    // A program begins at one entry; its sub-agents' turns, which begin with the same prompt, come through
    // others that have no record of it. All send them to the upstream at which it ran by the replicas' reports.
    let began = many();
    let lease = began.choose(&"s".into(), &turn(Some("main"))).unwrap();
    let lineage = affinity::Lineage {
        session: None,
        program: Some("p".into()),
    };
    let last = affinity::LastUpstreams {
        session: None,
        program: Some(lease.hash),
    };
    for agent in ["a1", "a2", "a3", "a4", "a5"] {
        let other = many();
        other.set_last_upstreams(&lineage, last);
        let theirs = other.choose(&"s".into(), &turn(Some(agent))).unwrap();
        expect_that!(theirs.id, eq(&lease.id));
    }
}

#[gtest]
fn leaves_an_upstream_that_broke_a_turn() {
    // An upstream resets the connections of all turns that it gets. Such a turn may not be repeated within its
    // request, so its caller sends it again, through any entry. Guards against every entry sending it to the
    // same upstream, because its session ran there, until the program fails.
    let fleet = many();
    let lineage = affinity::Lineage {
        session: Some("s".into()),
        program: Some("p".into()),
    };
    let broken = fleet::short_hash(&"u7".into(), 1);
    let ran = affinity::LastUpstreams {
        session: Some(broken),
        program: Some(broken),
    };
    fleet.set_last_upstreams(&lineage, ran);
    fleet.set_last_upstreams(&lineage, affinity::LastUpstreams::no_upstream());
    let ids: Vec<_> = (0..20)
        .map(|_| fleet.choose(&"s".into(), &turn(Some("s"))).unwrap())
        .collect();
    let there = ids.iter().filter(|lease| lease.id == "u7").count();
    // Up to twice by chance; then the session has another upstream.
    expect_that!(there, le(2));
}
