//! Many calls of one program at once: sub-agents on the same history.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::id;
use fw_plan::place;
use googletest::prelude::*;
use rand_pcg::Pcg64;

// A program starts two hundred sub-agents on its own history, all at once. Its cache lies on one
// upstream; sending all of them there would make the last wait for a hundred others while eight
// upstreams are idle. They must spread as soon as waiting costs more than computing the history.
#[gtest]
fn spreads_once_waiting_costs_more_than_prefill() {
    let mut view = place::View::new();
    let name = |index: usize| -> id::UpstreamId { format!("llm-{index}").into() };
    for index in 0..9 {
        view.add(&name(index), &"bne-north".into());
        let load = place::Load {
            batch: 16,
            ..place::Load::default()
        };
        view.update_load(&name(index), load, Duration::ZERO);
    }
    let (program, place) = ("case-7".into(), "bne-north".into());
    view.set_cached(&program, &name(4), 9_000);
    let mut rng = Pcg64::new(1, 1);
    let mut sent: HashMap<id::UpstreamId, u32> = HashMap::new();
    for call in 0..200 {
        let req = place::Request {
            program: Some(&program),
            prompt_tokens: 10_000,
            place: &place,
            model: None,
            avoid: &[],
        };
        let outcome = place::choose(&view, &req, &place::Options::default(), &mut rng).unwrap();
        let now = Duration::from_millis(call);
        view.record_sent(&outcome.upstream, outcome.uncached_tokens, now);
        *sent.entry(outcome.upstream).or_default() += 1;
    }
    let most = sent.values().max().copied().unwrap();
    expect_that!(sent[&name(4)], ge(16));
    expect_that!(most, le(100));
    expect_that!(sent.len(), ge(6));
}
