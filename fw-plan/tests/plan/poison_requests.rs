//! Requests that crash their upstreams.

use std::time::Duration;

use fw_base::digest;
use fw_base::error;
use fw_base::id;
use fw_plan::poison;
use googletest::prelude::*;

fn print(text: &str) -> digest::Digest {
    digest::Digest::of_bytes(text.as_bytes())
}

fn upstream(index: usize) -> id::UpstreamId {
    format!("llm-{index}").into()
}

// An engine crashes under four requests, one of which is the cause; its caller sends it again. It
// may take down one engine more, alone, and is then refused; the three others are cleared.
#[gtest]
fn the_cause_is_quarantined_and_nobody_else() {
    let mut poison = poison::Tracker::new(poison::Options::default());
    let now = Duration::from_secs(1);
    for text in ["a", "b", "c", "bad"] {
        poison.record_crash(now, &upstream(0), print(text), false);
    }
    for text in ["a", "b", "c", "bad"] {
        let alone = poison::Outcome::Alone { avoid: upstream(0) };
        expect_that!(poison.decide(now, &print(text)), eq(&alone));
    }
    for text in ["a", "b", "c"] {
        poison.record_success(&print(text));
        expect_that!(
            poison.decide(now, &print(text)),
            eq(&poison::Outcome::Normal)
        );
    }
    poison.record_crash(now, &upstream(1), print("bad"), true);
    let outcome = poison.decide(now, &print("bad"));
    let poison::Outcome::Refused(refused) = outcome else {
        panic!("{outcome:?}");
    };
    expect_that!(refused.kind, eq(error::Kind::Quarantined));
    let end = now + refused.retry_after;
    expect_that!(
        poison.decide(end, &print("bad")),
        eq(&poison::Outcome::Normal)
    );
}

#[gtest]
fn memory_is_bounded_and_keeps_quarantines() {
    let mut poison = poison::Tracker::new(poison::Options {
        capacity: 100,
        ..poison::Options::default()
    });
    let now = Duration::from_secs(1);
    poison.record_crash(now, &upstream(0), print("bad"), true);
    poison.record_crash(now, &upstream(1), print("bad"), true);
    for index in 0..1_000 {
        poison.record_crash(now, &upstream(0), print(&index.to_string()), false);
    }
    expect_that!(poison.len(), eq(100));
    let outcome = poison.decide(now, &print("bad"));
    expect_that!(matches!(outcome, poison::Outcome::Refused(_)), is_true());
}
