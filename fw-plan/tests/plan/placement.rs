//! Choosing an upstream by expected delay.

use std::time::Duration;

use fw_base::id;
use fw_plan::place;
use googletest::prelude::*;
use rand_pcg::Pcg64;

fn view(count: usize) -> place::View {
    let mut view = place::View::new();
    for index in 0..count {
        view.add(&name(index), &"surat-hall-a".into());
    }
    view
}

fn name(index: usize) -> id::UpstreamId {
    format!("llm-{index}").into()
}

fn choose(view: &place::View, program: &str, rng: &mut Pcg64) -> Option<place::Outcome> {
    let place = "surat-hall-a".into();
    let program = program.into();
    let req = place::Request {
        program: Some(&program),
        prompt_tokens: 2_000,
        place: &place,
        model: None,
        avoid: None,
    };
    place::choose(view, &req, &place::Options::default(), rng)
}

#[gtest]
fn stays_with_its_cache() {
    let mut view = view(9);
    let mut rng = Pcg64::new(1, 1);
    view.cache(&"page".into(), &name(3), 1_900);
    let outcome = choose(&view, "page", &mut rng);
    expect_that!(
        outcome,
        some(matches_pattern!(place::Outcome {
            upstream: eq(&name(3)),
            reason: eq(&place::Reason::Cache),
            lacks: eq(&100),
            ..
        }))
    );
}

#[gtest]
fn leaves_a_cache_behind_a_long_queue() {
    let mut view = view(9);
    let mut rng = Pcg64::new(1, 1);
    view.cache(&"page".into(), &name(3), 1_900);
    let load = place::Load {
        queued: 50,
        running: 32,
        batch: 32,
        ..place::Load::default()
    };
    view.report(&name(3), load, Duration::from_secs(1));
    let outcome = choose(&view, "page", &mut rng);
    expect_that!(
        outcome,
        some(matches_pattern!(place::Outcome {
            upstream: not(eq(&name(3))),
            reason: eq(&place::Reason::Moved),
            ..
        }))
    );
}

#[gtest]
fn names_nobody_when_none_is_usable() {
    let mut view = view(1);
    view.set_health(&name(0), 0.0);
    let mut rng = Pcg64::new(1, 1);
    expect_that!(choose(&view, "page", &mut rng), none());
}
