//! Memory use of the state behind the decisions, at four sizes each.
//!
//! `cargo run --release -p fw-plan --example memory -- view` prints the growth of the resident set,
//! read from `/proc/self/statm`. Everything built stays alive until the end, so that no freed page
//! is counted for the next size. Sizes are large, so that the spare capacity of a growing table
//! counts little. The argument selects the kinds whose name contains it. One kind per run is the
//! most exact, since a kind may otherwise reuse pages left by the one before it.

use std::any::Any;
use std::time::Duration;

use fw_base::digest;
use fw_base::id;
use fw_plan::admit;
use fw_plan::health;
use fw_plan::place;
use fw_plan::quarantine;
use fw_plan::queue;

/// Page size of the machines that this runs on, in bytes.
const PAGE: usize = 4_096;

type Build = fn(usize) -> Box<dyn Any>;

fn main() -> std::io::Result<()> {
    let kinds: [(&str, [usize; 4], Build); 7] = [
        (
            "upstream in a view",
            [1_500, 3_000, 6_000, 12_000],
            upstreams,
        ),
        (
            "program's cache in a view",
            [40_000, 80_000, 160_000, 320_000],
            caches,
        ),
        (
            "upstream's health",
            [12_000, 24_000, 48_000, 96_000],
            healths,
        ),
        (
            "team in admission",
            [40_000, 80_000, 160_000, 320_000],
            teams,
        ),
        ("job in a queue", [20_000, 40_000, 80_000, 160_000], jobs),
        (
            "suspect fingerprint",
            [20_000, 40_000, 80_000, 160_000],
            suspects,
        ),
        (
            "program's ledger",
            [40_000, 80_000, 160_000, 320_000],
            ledgers,
        ),
    ];
    let only = std::env::args().nth(1).unwrap_or_default();
    let chosen = kinds.iter().filter(|kind| kind.0.contains(&only));
    let mut kept = Vec::new();
    println!("| one more | count | bytes each |\n|---|--:|--:|");
    for (name, sizes, build) in chosen {
        for &size in sizes {
            let before = resident()?;
            kept.push(build(size));
            let bytes = resident()?.saturating_sub(before);
            println!("| {name} | {size} | {} |", bytes / size);
        }
    }
    Ok(())
}

fn resident() -> std::io::Result<usize> {
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm.split_whitespace().nth(1);
    let pages: usize = pages.and_then(|pages| pages.parse().ok()).unwrap_or(0);
    Ok(pages * PAGE)
}

fn name(index: usize) -> id::UpstreamId {
    format!("llm-worker-{index:05}").into()
}

fn view(count: usize) -> place::View {
    let mut view = place::View::new();
    for index in 0..count {
        view.add(&name(index), &"surat-hall-a".into());
        view.set_models(&name(index), &["model-a".into()]);
        view.update_load(&name(index), place::Load::default(), Duration::ZERO);
        view.record_sent(&name(index), 1_000, Duration::from_secs(1));
    }
    view
}

fn upstreams(count: usize) -> Box<dyn Any> {
    Box::new(view(count))
}

fn caches(count: usize) -> Box<dyn Any> {
    let mut view = view(9);
    for index in 0..count {
        let program = format!("program-of-a-caller-{index:07}").into();
        view.set_cached(&program, &name(index % 9), 5_000);
    }
    Box::new(view)
}

fn healths(count: usize) -> Box<dyn Any> {
    let mut health = health::Health::new(health::Options::default());
    for index in 0..count {
        health.observe(Duration::ZERO, &name(index), health::Observation::Answered);
    }
    Box::new(health)
}

fn teams(count: usize) -> Box<dyn Any> {
    let mut admit = admit::Controller::new(admit::Options::default());
    for index in 0..count {
        let req = admit::Request {
            lane: admit::Lane::Turn,
            team: format!("team-{index:05}").into(),
            share: 1.0,
            deadline: Duration::from_secs(10),
        };
        admit.decide(Duration::ZERO, &req);
    }
    Box::new(admit)
}

fn jobs(count: usize) -> Box<dyn Any> {
    let mut queue = queue::Queue::new(queue::Options {
        capacity: usize::MAX,
        ..queue::Options::default()
    });
    for index in 0..count as u64 {
        let job = queue::Job {
            id: index,
            team: format!("team-{:05}", index % 170).into(),
            share: 1.0,
            attained: Duration::from_millis(index % 977),
            prompt_tokens: 1_000,
            deadline: Duration::from_secs(60),
            alone: false,
        };
        queue.push(Duration::ZERO, job).expect("room for all");
    }
    Box::new(queue)
}

fn suspects(count: usize) -> Box<dyn Any> {
    let mut table = quarantine::Table::new(quarantine::Options {
        capacity: usize::MAX,
        ..quarantine::Options::default()
    });
    for index in 0..count {
        let print = digest::Digest::of_bytes(&index.to_le_bytes());
        let failure = quarantine::Failure::crash(0);
        table.record_failure(Duration::ZERO, print, 0, index as u64, failure);
    }
    Box::new(table)
}

fn ledgers(count: usize) -> Box<dyn Any> {
    let limits = fw_plan::budget::Limits::default();
    let spent = fw_plan::budget::Amount::default();
    let ledger = |_| fw_plan::budget::Ledger::new(limits, Duration::ZERO, spent);
    Box::new((0..count).map(ledger).collect::<Vec<_>>())
}
