//! Requests that have crashed upstreams, as one entry records them.

use std::time::Duration;

use fw_base::digest;
use fw_base::id;
use fw_entry::process::suspects::Attempt;
use fw_entry::process::suspects::Suspects;
use fw_plan::quarantine::Outcome;
use googletest::prelude::*;

const NOW: Duration = Duration::from_secs(1);

/// Records a crash of `upstream` under the request.
fn crash(suspects: &Suspects, request: digest::Digest, upstream: &id::UpstreamId, id: u64) {
    let attempt = Attempt {
        id,
        upstream,
        known: suspects.weight(NOW, &request),
    };
    suspects.record_crash(NOW, request, &"team".into(), attempt);
}

// Guards against an upstream that crashes twice and has a request refused that is not the cause.
#[gtest]
fn avoid_the_upstream_that_crashed() {
    let suspects = Suspects::default();
    let request = digest::Digest::of_bytes(b"request");
    expect_that!(suspects.upstream_to_avoid(NOW, &request), none());
    let upstream = id::UpstreamId::from("llm-0");
    crash(&suspects, request, &upstream, 1);
    expect_that!(suspects.decide(NOW, &request), eq(Outcome::Exclusive));
    let avoided = suspects.upstream_to_avoid(NOW, &request);
    expect_that!(avoided, some(eq(&upstream)));
    suspects.record_success(NOW, &request);
    expect_that!(suspects.upstream_to_avoid(NOW, &request), none());
}

// Guards against a request that goes on after it has crashed an upstream beside others and one alone.
#[gtest]
fn are_refused_from_the_second_crash_on() {
    let suspects = Suspects::default();
    let request = digest::Digest::of_bytes(b"request");
    crash(&suspects, request, &"llm-0".into(), 1);
    crash(&suspects, request, &"llm-1".into(), 2);
    let outcome = suspects.decide(NOW, &request);
    expect_that!(outcome, matches_pattern!(Outcome::Refused { .. }));
}
