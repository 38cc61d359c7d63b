//! One team sends far more than its share.

use googletest::prelude::*;

use crate::sim::trace;
use crate::sim::world;
use crate::workload;

const HOT: usize = 0;
const QUIET: usize = 1;

// One team's script starts programs continuously, at three times the capacity of all engines. The
// officers of another team, who use a fifth of the engines, must get their programs finished as if
// the first team were absent.
#[gtest]
fn does_not_crowd_out_a_quiet_team() {
    let arrived = quiet()
        .into_iter()
        .filter(|spec| spec.at >= workload::MEASURE_FROM);
    let arrived = arrived.count() as f64;
    let product = world::run(workload::setup(workload::product_policy(), hot_and_quiet()));
    expect_that!(product.finished_by_team[QUIET] as f64, ge(arrived * 0.9));
    expect_that!(product.finished_by_team[HOT], ge(1));
}

#[gtest]
fn crowds_out_everyone_without_shares() {
    let arrived = quiet()
        .into_iter()
        .filter(|spec| spec.at >= workload::MEASURE_FROM);
    let arrived = arrived.count() as f64;
    let policy = workload::baseline("fewest outstanding, FCFS");
    let without = world::run(workload::setup(policy, hot_and_quiet()));
    expect_that!(without.finished_by_team[QUIET] as f64, le(arrived * 0.7));
}

fn hot_and_quiet() -> Vec<trace::Spec> {
    let hot = of_team(workload::shape().programs(3.0, workload::END, 1), HOT);
    workload::merge(hot, quiet())
}

fn quiet() -> Vec<trace::Spec> {
    of_team(workload::shape().programs(0.2, workload::END, 2), QUIET)
}

fn of_team(programs: Vec<trace::Spec>, team: usize) -> Vec<trace::Spec> {
    let of = |spec| trace::Spec { team, ..spec };
    programs.into_iter().map(of).collect()
}
