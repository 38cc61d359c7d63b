//! An upstream returns after a failure.

use std::time::Duration;

use fw_base::id;
use fw_plan::health;
use fw_plan::place;
use googletest::prelude::*;
use rand_pcg::Pcg64;

fn name(index: usize) -> id::UpstreamId {
    format!("llm-{index}").into()
}

// An engine returns with an empty queue while the others are full. All entries see the same idle
// engine at once and send it everything (a herd): it falls over again, or its queue becomes the
// longest. It must be given a part that grows with the time since its return.
#[gtest]
fn draws_no_herd() {
    let at_return = part_of_returned(Duration::from_millis(2_100));
    let later = part_of_returned(Duration::from_secs(7));
    let whole = part_of_returned(Duration::from_secs(60));
    expect_that!(at_return, all!(gt(0.0), lt(0.06)));
    expect_that!(later, gt(at_return));
    expect_that!(whole, gt(0.15));
}

/// Part of the calls that an upstream gets which was ejected at 0 for 2 s.
fn part_of_returned(now: Duration) -> f64 {
    let mut health = health::Health::new(health::Options::default());
    let mut view = place::View::new();
    for index in 0..9 {
        health.observe(Duration::ZERO, &name(index), health::Observation::Answered);
        view.add(&name(index), &"bne-north".into());
        let load = place::Load {
            running: if index == 0 { 0 } else { 40 },
            batch: 16,
            ..place::Load::default()
        };
        view.update_load(&name(index), load, Duration::ZERO);
    }
    health.observe(Duration::ZERO, &name(0), health::Observation::Down);
    for index in 0..9 {
        health.observe(now, &name(index), health::Observation::Answered);
        let weight = health.decide(now, &name(index)).weight();
        view.set_health(&name(index), weight);
    }
    let mut rng = Pcg64::new(1, 1);
    let place = "bne-north".into();
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &place,
        model: None,
        avoid: &[],
    };
    let choices = (0..2_000).filter_map(|_| {
        let options = place::Options::default();
        place::choose(&view, &req, &options, &mut rng)
    });
    let returned = choices.filter(|outcome| outcome.upstream == name(0));
    returned.count() as f64 / 2_000.0
}
