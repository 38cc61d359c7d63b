//! The table that maps error kinds to answers.

use std::collections::HashSet;

use fw_base::error;
use googletest::prelude::*;

#[gtest]
fn labels_are_unique() {
    let labels: HashSet<_> = error::Kind::ALL.iter().map(|k| k.row().label).collect();
    expect_that!(labels.len(), eq(error::Kind::ALL.len()));
}

#[gtest]
fn statuses_are_errors() {
    for kind in error::Kind::ALL {
        expect_that!(kind.row().status, all!(ge(400), le(599)));
    }
}

#[gtest]
fn serialized_name_is_the_label() {
    for kind in error::Kind::ALL {
        let json = serde_json::to_value(kind).unwrap();
        expect_that!(json.as_str(), some(eq(kind.row().label)));
    }
}
