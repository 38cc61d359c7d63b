//! What is told of a call that was tried more than once.

use std::time::Duration;

use fw_base::error;
use googletest::prelude::*;

// A call crashed its upstream, and the retry was refused because no upstream was left. Reporting "not
// run" would be false: the first attempt may have run.
#[gtest]
fn a_refused_retry_does_not_hide_a_run() {
    let crashed = error::Error::new(error::Kind::UpstreamCrashed, "crashed");
    let refused =
        error::Error::new(error::Kind::NoUpstream, "none").with_retry_after(Duration::from_secs(1));
    let reported = refused.clone().merge_earlier(Some(crashed.clone()));
    expect_that!(reported.kind, eq(error::Kind::UpstreamCrashed));
    expect_that!(reported.retry_after, eq(refused.retry_after));
    expect_that!(refused.clone().merge_earlier(None), eq(&refused));
    expect_that!(crashed.clone().merge_earlier(Some(refused)), eq(&crashed));
}
