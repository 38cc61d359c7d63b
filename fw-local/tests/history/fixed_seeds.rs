//! Runs with faults drawn from fixed seeds, checked for every promise.

use fw_check::check;
use fw_check::check::Promise;
use fw_local::history;
use googletest::prelude::*;
use tokio::sync::Semaphore;

/// Limits the systems that run concurrently, since leases and heartbeats depend on real time.
static SLOTS: Semaphore = Semaphore::const_new(2);

async fn run(opts: history::Options) -> history::Outcome {
    let _slot = SLOTS.acquire().await.expect("the semaphore stays open");
    let outcome = history::run(&opts).await.expect("a system on loopback");
    let seed = opts.seed;
    if !outcome.is_good() {
        println!("seed {seed}:\n{outcome}");
        println!("cargo run --release -p fw-local --example soak -- --seeds {seed}..{seed}");
    }
    outcome
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_run_without_faults_holds_every_promise() {
    let opts = history::Options {
        faults: false,
        ..history::Options::default()
    };
    let outcome = run(opts).await;
    expect_true!(outcome.is_good());
    // Guards against a vacuous pass: a promise for which nothing was recorded is never violated, so
    // each of these must have been observed.
    let observed = [
        Promise::Order,
        Promise::History,
        Promise::Memory,
        Promise::Answer,
        Promise::Once,
        Promise::Records,
    ];
    for promise in observed {
        let is_held = matches!(outcome.report.verdict(promise), check::Verdict::Held { .. });
        expect_true!(is_held, "{promise:?}");
    }
}

macro_rules! seeds {
    ($($name:ident: $seed:literal;)*) => {
        $(
            #[gtest]
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                let seed = $seed;
                let opts = history::Options { seed, ..history::Options::default() };
                expect_true!(run(opts).await.is_good());
            }
        )*
    };
}

seeds! {
    seed_1_holds: 1;
    seed_2_holds: 2;
    seed_3_holds: 3;
    seed_4_holds: 4;
    seed_5_holds: 5;
    seed_6_holds: 6;
    seed_14_holds: 14;
    seed_21_holds: 21;
    seed_29_holds: 29;
    seed_38_holds: 38;
    seed_66_holds: 66;
    seed_183_holds: 183;
    seed_20261324_holds: 20261324;
}
