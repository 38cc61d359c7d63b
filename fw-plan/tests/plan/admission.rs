//! Whether a call starts at all.

use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::admit;
use googletest::prelude::*;
use proptest::prelude::*;

fn options() -> admit::Options {
    admit::Options {
        initial: 20.0,
        plain_initial: 20.0,
        ..admit::Options::default()
    }
}

fn req(lane: admit::Lane, team: &str) -> admit::Request {
    admit::Request {
        lane,
        team: team.into(),
        share: 1.0,
        deadline: Duration::from_secs(10),
    }
}

/// Sends up to `most` calls, none of which ends, and returns how many were admitted.
fn fill(admit: &mut admit::Controller, req: &admit::Request, most: u32) -> u32 {
    let mut admitted = 0;
    for _ in 0..most {
        if admit.decide(Duration::ZERO, req) == admit::Outcome::Admitted {
            admit.started(Duration::ZERO, req.lane, &req.team);
            admitted += 1;
        }
    }
    admitted
}

// New programs keep coming while others are half-way. Refusing a turn of a program under way
// throws away the turns before it, so new programs must leave room for them.
#[gtest]
fn turns_are_admitted_where_new_programs_are_refused() {
    let mut admit = admit::Controller::new(options());
    let new = req(admit::Lane::NewProgram, "a");
    expect_that!(fill(&mut admit, &new, 100), eq(16));
    let refused = admit.decide(Duration::ZERO, &new);
    let admit::Outcome::Refused { kind, retry_after } = refused else {
        panic!("{refused:?}");
    };
    expect_that!(kind, eq(error::Kind::Overloaded));
    expect_that!(retry_after, gt(Duration::ZERO));
    let turn = req(admit::Lane::Turn, "a");
    expect_that!(fill(&mut admit, &turn, 100), ge(10));
}

#[gtest]
fn programs_cannot_fill_the_plain_lane() {
    let mut admit = admit::Controller::new(options());
    fill(&mut admit, &req(admit::Lane::Turn, "a"), 1_000);
    fill(&mut admit, &req(admit::Lane::NewProgram, "a"), 1_000);
    let plain = req(admit::Lane::Plain, "a");
    expect_that!(fill(&mut admit, &plain, 100), eq(20));
}

#[gtest]
fn a_team_above_its_share_is_refused_in_favour_of_another() {
    let mut admit = admit::Controller::new(options());
    let other = req(admit::Lane::Turn, "quiet");
    fill(&mut admit, &other, 1);
    let hot = req(admit::Lane::Turn, "hot");
    fill(&mut admit, &hot, 1_000);
    let refused = admit.decide(Duration::ZERO, &hot);
    let kind = error::Kind::ShareExceeded;
    expect_that!(
        matches!(refused, admit::Outcome::Refused { kind: k, .. } if k == kind),
        is_true()
    );
    expect_that!(fill(&mut admit, &other, 3), eq(3));
}

#[gtest]
fn the_limit_follows_the_delay() {
    let mut admit = admit::Controller::new(options());
    let turn = req(admit::Lane::Turn, "a");
    let run = |admit: &mut admit::Controller, from: u64, delay: Duration| {
        for tick in from..from + 400 {
            let now = Duration::from_millis(tick * 10);
            for _ in 0..30 {
                if admit.decide(now, &turn) == admit::Outcome::Admitted {
                    admit.started(now, turn.lane, &turn.team);
                    admit.finished(now, turn.lane, &turn.team, delay);
                }
            }
        }
    };
    fill(&mut admit, &turn, 19);
    run(&mut admit, 0, Duration::from_millis(1));
    let grown = admit.turn_limit();
    expect_that!(grown, gt(20.0));
    run(&mut admit, 400, Duration::from_millis(500));
    expect_that!(admit.turn_limit(), lt(grown / 2.0));
}

proptest! {
    #![proptest_config(crate::workload::fixed())]

    // Whatever the mix of teams, nothing is refused for its share while less than 0.7 of the bound is
    // used, and a lone team may use all of it.
    #[test]
    fn shares_conserve_work(calls in prop::collection::vec(0_usize..6, 1..300)) {
        let mut admit = admit::Controller::new(options());
        let bound = 20.0 * options().turn_part;
        let mut running = 0.0;
        let mut per_team = [0.0_f64; 6];
        for team in calls {
            let name: id::TeamId = format!("team-{team}").into();
            let turn = req(admit::Lane::Turn, &name);
            match admit.decide(Duration::ZERO, &turn) {
                admit::Outcome::Admitted => {
                    admit.started(Duration::ZERO, turn.lane, &name);
                    running += 1.0;
                    per_team[team] += 1.0;
                }
                admit::Outcome::Refused { .. } => {
                    prop_assert!(running >= bound * options().contended);
                }
            }
            prop_assert!(running <= bound);
        }
        let alone = per_team.iter().filter(|held| **held > 0.0).count() == 1;
        if alone {
            prop_assert!(per_team.iter().all(|held| *held <= bound));
        }
    }
}
