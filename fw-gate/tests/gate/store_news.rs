//! What one entry reads from the platform's store, and the others hear of.

use std::time::Duration;

use fw_base::clock;
use fw_follow::Step;
use fw_gate::process::fleet::Want;
use fw_gate::process::gate::Change;
use fw_gate::process::snapshot::Known;
use fw_gate::version::config::Config;
use fw_replica::{member, service};
use googletest::prelude::*;

use crate::first_moments::gate;
use crate::upstream_list::listed;

fn config(version: u64) -> Config {
    Config {
        version,
        ..Config::default()
    }
}

fn read(as_of: u64, changes: Vec<Change>) -> Step<Change> {
    Step::News {
        changes,
        settled: true,
        as_of,
    }
}

fn news(newer: service::Bulletins, as_of: u64) -> service::News {
    service::News {
        newer,
        view: member::View::default(),
        held: Duration::ZERO,
        last: Some(service::LastRead {
            by: 1,
            as_of,
            ago: Duration::ZERO,
            asked: None,
        }),
    }
}

// An entry's own read of the store is on its way back while it hears from a replica that an upstream
// is leaving. The read is older and says that the upstream takes work: it went on to get calls.
#[gtest]
#[tokio::test]
async fn an_older_read_does_not_undo_what_was_heard() {
    let gate = gate();
    let first = vec![
        Change::Config(Box::new(config(1))),
        Change::Upstream(listed("x")),
    ];
    gate.apply(read(3, first));
    let mut other = Known::default();
    let leaving = fw_gate::process::fleet::Listed {
        takes_work: false,
        ..listed("x")
    };
    let newer = other.read(5, &config(2), &[leaving]);
    gate.hear(news(newer, 5), clock::since_boot());
    gate.apply(read(4, vec![Change::Upstream(listed("x"))]));
    let chosen = gate.fleet.choose(&"s".into(), &Want::default());
    expect_that!(chosen.is_err(), eq(true));
    expect_that!(gate.config().unwrap().version, eq(2));
}

#[gtest]
#[tokio::test]
async fn a_later_read_counts_again() {
    let gate = gate();
    let mut other = Known::default();
    let newer = other.read(5, &config(2), &[listed("x")]);
    gate.hear(news(newer, 5), clock::since_boot());
    gate.apply(read(6, vec![Change::UpstreamGone("x".into())]));
    let chosen = gate.fleet.choose(&"s".into(), &Want::default());
    expect_that!(chosen.is_err(), eq(true));
}

// Whoever takes over the reading tells nothing anew: a configuration of a thousand routes would go to
// all replicas, and from them to a hundred entries.
#[gtest]
fn what_was_heard_is_not_told_again() {
    let mut reader = Known::default();
    let newer = reader.read(5, &config(2), &[listed("x")]);
    expect_that!(newer.config, some(anything()));
    let mut next = Known::default();
    next.hear(newer, 5);
    let nothing = service::Bulletins::default();
    expect_that!(next.read(7, &config(2), &[listed("x")]), eq(&nothing));
    expect_that!(next.as_of(), eq(7));
    // Of the parts, only what has changed.
    let changed = next.read(8, &config(2), &[listed("x"), listed("y")]);
    expect_that!(changed.config.is_none(), eq(true));
    expect_that!(changed.upstreams.unwrap().as_of, eq(8));
}
