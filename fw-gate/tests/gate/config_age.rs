//! The age of the configuration, as it is logged.

use std::time::Duration;

use fw_gate::process::config_age::{MARKS, marks_passed};
use googletest::prelude::*;

// Guards against a configuration that is not confirmed for minutes without a line in the log.
#[gtest]
fn passes_marks() {
    expect_that!(marks_passed(Duration::ZERO), eq(0));
    for (number, mark) in (1..).zip(MARKS) {
        expect_that!(
            marks_passed(mark - Duration::from_millis(1)),
            eq(number - 1)
        );
        expect_that!(marks_passed(mark), eq(number));
    }
}
