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
        avoid: &[],
    };
    place::choose(view, &req, &place::Options::default(), rng)
}

#[gtest]
fn stays_with_its_cache() {
    let mut view = view(9);
    let mut rng = Pcg64::new(1, 1);
    view.set_cached(&"page".into(), &name(3), 1_900);
    let outcome = choose(&view, "page", &mut rng);
    expect_that!(
        outcome,
        some(matches_pattern!(place::Outcome {
            upstream: eq(&name(3)),
            reason: eq(&place::Reason::Cache),
            uncached_tokens: eq(&100),
            ..
        }))
    );
}

#[gtest]
fn leaves_a_cache_behind_a_long_queue() {
    let mut view = view(9);
    let mut rng = Pcg64::new(1, 1);
    view.set_cached(&"page".into(), &name(3), 1_900);
    let load = place::Load {
        queued: 50,
        running: 32,
        batch: 32,
        ..place::Load::default()
    };
    view.update_load(&name(3), load, Duration::from_secs(1));
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

// One engine's steps take ten times as long, and nothing waits anywhere. By queue length alone it
// looks as good as the others, and a ninth of all turns would take ten times as long.
#[gtest]
fn slow_steps_count_when_nothing_waits() {
    let mut view = view(9);
    for index in 0..9 {
        let step = if index == 0 { 30 } else { 3 };
        let load = place::Load {
            batch: 32,
            step: Duration::from_millis(step),
            ..place::Load::default()
        };
        view.update_load(&name(index), load, Duration::ZERO);
    }
    let mut rng = Pcg64::new(1, 1);
    let choices = (0..900).filter_map(|_| choose(&view, "page", &mut rng));
    let slow = choices.filter(|outcome| outcome.upstream == name(0));
    // It is taken only where both samples are the slow one.
    expect_that!(slow.count(), le(30));
}

#[gtest]
fn an_upstream_without_the_model_is_not_chosen() {
    let mut view = view(9);
    view.set_models(&name(5), &["small".into()]);
    view.set_models(&name(6), &["large".into()]);
    let mut rng = Pcg64::new(1, 1);
    let (place, model) = ("surat-hall-a".into(), "large".into());
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &place,
        model: Some(&model),
        avoid: &[],
    };
    let outcome = place::choose(&view, &req, &place::Options::default(), &mut rng);
    expect_that!(outcome.unwrap().upstream, eq(&name(6)));
}

#[gtest]
fn a_removed_upstream_is_never_chosen() {
    let mut view = view(3);
    view.set_cached(&"page".into(), &name(1), 1_900);
    view.remove(&name(1));
    view.add(&name(9), &"surat-hall-a".into());
    let mut rng = Pcg64::new(1, 1);
    for _ in 0..100 {
        let outcome = choose(&view, "page", &mut rng).unwrap();
        expect_that!(outcome.upstream, not(eq(&name(1))));
        expect_that!(outcome.uncached_tokens, eq(2_000));
    }
}

#[gtest]
fn the_one_to_avoid_is_chosen_only_if_alone() {
    let place = "surat-hall-a".into();
    let avoid = [name(0)];
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &place,
        model: None,
        avoid: &avoid,
    };
    let mut rng = Pcg64::new(1, 1);
    let mut at = |count| {
        let view = view(count);
        place::choose(&view, &req, &place::Options::default(), &mut rng).unwrap()
    };
    expect_that!(at(2).upstream, eq(&name(1)));
    expect_that!(at(1).upstream, eq(&name(0)));
}

// A call failed at two upstreams, and the third is loaded: it is sent there all the same. With the
// last failure alone avoided, it went back to the first.
#[gtest]
fn all_that_failed_are_avoided() {
    let place = "surat-hall-a".into();
    let avoid = [name(0), name(2)];
    let mut view = view(3);
    for _ in 0..4 {
        view.record_sent(&name(1), 4_000, Duration::ZERO);
    }
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &place,
        model: None,
        avoid: &avoid,
    };
    let mut rng = Pcg64::new(1, 1);
    for _ in 0..50 {
        let chosen = place::choose(&view, &req, &place::Options::default(), &mut rng);
        expect_that!(chosen.unwrap().upstream, eq(&name(1)));
    }
}

// Two places, 40 ms apart. Half of all turns would cross for nothing if distance did not count.
#[gtest]
fn a_near_upstream_goes_before_a_far_one() {
    let mut view = place::View::new();
    let (near, far) = ("bne-north".into(), "tsv-hall".into());
    view.add(&name(0), &far);
    view.add(&name(1), &near);
    view.set_distance(&near, &far, Duration::from_millis(40));
    let mut rng = Pcg64::new(1, 1);
    let req = place::Request {
        program: None,
        prompt_tokens: 0,
        place: &near,
        model: None,
        avoid: &[],
    };
    let outcome = place::choose(&view, &req, &place::Options::default(), &mut rng);
    expect_that!(outcome.unwrap().upstream, eq(&name(1)));
}

// The engine that holds a long history is overloaded. Where engines can export a cache, moving it
// costs a tenth of computing it anew, and the choice says where to fetch it.
#[gtest]
fn a_cache_is_imported_where_that_beats_prefill() {
    let mut view = view(2);
    let load = place::Load {
        queued: 400,
        running: 32,
        batch: 32,
        ..place::Load::default()
    };
    view.update_load(&name(0), load, Duration::ZERO);
    view.set_cached(&"page".into(), &name(0), 2_000);
    let options = place::Options {
        export_rate: 200_000,
        ..place::Options::default()
    };
    let (program, place) = ("page".into(), "surat-hall-a".into());
    let req = place::Request {
        program: Some(&program),
        prompt_tokens: 2_000,
        place: &place,
        model: None,
        avoid: &[],
    };
    let mut rng = Pcg64::new(1, 1);
    let outcome = place::choose(&view, &req, &options, &mut rng).unwrap();
    expect_that!(outcome.upstream, eq(&name(1)));
    expect_that!(outcome.import_from, some(eq(&name(0))));
}
