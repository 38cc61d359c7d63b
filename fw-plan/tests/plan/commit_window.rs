//! Spacing of commits.

use std::time::Duration;

use fw_plan::commit_window;
use googletest::prelude::*;

// 380 entries each commit as soon as the last commit is answered: 76,000 writes a second at 5 ms,
// where the store takes several hundred. Together they must stay within the rate.
#[gtest]
fn all_entries_together_stay_within_the_rate() {
    let options = commit_window::Options::default();
    for entries in [1, 3, 38, 380] {
        let window = commit_window::CommitWindow::new(options.clone());
        let spacing = window.spacing(entries).as_secs_f64();
        expect_that!(f64::from(entries) / spacing, le(options.writes * 1.001));
    }
}

#[gtest]
fn a_slow_store_is_written_to_less_often() {
    let mut window = commit_window::CommitWindow::new(commit_window::Options::default());
    let quick = window.spacing(3);
    for _ in 0..50 {
        window.observe(Duration::from_millis(800));
    }
    expect_that!(window.spacing(3), gt(quick * 10));
}

#[gtest]
fn a_lone_turn_is_committed_at_once() {
    let mut window = commit_window::CommitWindow::new(commit_window::Options::default());
    window.committed(Duration::from_secs(1));
    let delay = window.delay(Duration::from_secs(9), 380);
    expect_that!(delay, le(Duration::from_millis(1)));
}
