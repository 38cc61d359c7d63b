//! A new keeper finds all durable changes of the previous one, which is fenced from further writes.

use std::time::Duration;

use fw_base::error;
use fw_keep::journal::keys;
use fw_keep::keeper;
use fw_keep::keeper::Owner;
use fw_keep::program;
use googletest::prelude::*;

use crate::fleet;
use crate::fleet::Fleet;

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lone_keeper_takes_all_shards_and_commits() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let ticket = fleet::turn(&a, "p", 1);
    expect_that!(a.wait_durable(ticket).await, ok(anything()));
    expect_that!(fleet::committed(&a, "p"), some((eq(1), anything())));
}

/// A program has two turns when its keeper dies, and its third turn reaches another entry. Without a
/// replay of the journal, that entry would start an empty history.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn programs_of_a_dead_keeper_continue_elsewhere() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    for program in ["p", "q", "r"] {
        a.wait_durable(fleet::turn(&a, program, 1)).await.unwrap();
        a.wait_durable(fleet::turn(&a, program, 2)).await.unwrap();
    }
    let before = fleet::committed(&a, "p");
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    expect_that!(fleet::committed(&b, "p"), eq(before));
    b.wait_durable(fleet::turn(&b, "p", 3)).await.unwrap();
    let replay = fleet::begin(&b, "q", fleet::delta(2, "ask 2", 77));
    expect_that!(replay, pat!(program::Outcome::Replay { turn: eq(&2), .. }));
}

/// An entry is paused (here: cut off) past its lease, and another takes its shards and runs a turn. Then
/// the first resumes and writes the turn that it finished in memory. Without the fence, the program would
/// have two answers to one turn, and the caller of the second would lose hers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_keeper_that_resumes_is_fenced() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    a.wait_durable(fleet::turn(&a, "p", 1)).await.unwrap();
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let late = fleet::turn(&a, "p", 2);
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    let other = fleet::begin(&b, "p", fleet::delta(2, "another ask", 21));
    expect_that!(other, pat!(program::Outcome::Run(anything())));
    b.wait_durable(fleet::finish(&b, "p", 2, 21)).await.unwrap();
    let after = fleet::committed(&b, "p");
    fleet.store.faults(0, |faults| faults.outage = None);
    let lost = async {
        loop {
            match a.wait_durable(late).await {
                Err(keeper::Error::StoreUnavailable) => (),
                done => break done,
            }
        }
    };
    let lost = tokio::time::timeout(Duration::from_secs(20), lost)
        .await
        .unwrap();
    expect_that!(lost, err(eq(keeper::Error::StaleFence)));
    // After resuming it gets its share of the shards again, possibly including this one.
    let committed = || fleet::committed(&b, "p").or_else(|| fleet::committed(&a, "p"));
    fleet::until("the shard is kept", || committed().is_some()).await;
    expect_that!(committed(), eq(after));
}

/// Guards against a second write, or a second run, of a turn whose commit took effect but whose answer
/// from the store was lost.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_commit_whose_answer_was_lost_is_found_by_reading_back() {
    let fleet = Fleet::start(1).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    fleet.store.faults(0, |faults| faults.lose_answers = 2);
    for number in 1..=4 {
        expect_that!(
            a.wait_durable(fleet::turn(&a, "p", number)).await,
            ok(anything())
        );
    }
    let shard = a.shard_of("p");
    let prefix = keys::segments(fleet::ROOT, shard);
    let segments = fleet.store.all().into_iter();
    let segments = segments.filter(|kv| kv.key.starts_with(prefix.as_bytes()));
    expect_that!(segments.count(), eq(4));
}

/// Guards against one store call per turn when a hundred programs run at once, which would use up the
/// write rate that all entries share. Turns share calls, at most one per window.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turns_of_one_window_share_a_store_call() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        window: Duration::from_millis(400),
        durable_wait: Duration::from_secs(10),
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, 16).await;
    a.wait_durable(fleet::turn(&a, "first", 1)).await.unwrap();
    let before = fleet.store.counts().writes;
    let mut tickets = Vec::new();
    for n in 0..100 {
        tickets.push(fleet::turn(&a, &format!("p{n}"), 1));
        tokio::time::sleep(Duration::from_millis(3)).await;
    }
    for ticket in tickets {
        a.wait_durable(ticket).await.unwrap();
    }
    // On a slow machine the hundred turns span several windows.
    expect_that!(fleet.store.counts().writes - before, le(10));
}

/// A journal segment is truncated. Programs of other shards must not be affected, and those of its own
/// shard get an error instead of a history with a gap.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_segment_affects_its_own_shard_only() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let programs: Vec<String> = (0..32).map(|n| format!("p{n}")).collect();
    for program in &programs {
        a.wait_durable(fleet::turn(&a, program, 1)).await.unwrap();
    }
    a.close().await;
    let torn = a.shard_of(&programs[0]);
    let key = keys::segment(fleet::ROOT, torn, 1, 0);
    let value = fleet.store.get(&key).unwrap().value;
    fleet.store.put(&key, &value[..value.len() / 2]);
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    for program in &programs {
        let begun = fleet::begin(&b, program, fleet::delta(2, "on", 9));
        if b.shard_of(program) == torn {
            let corrupt = pat!(error::Error {
                kind: eq(&error::Kind::JournalCorrupt),
                ..
            });
            expect_that!(begun, pat!(program::Outcome::Refused(corrupt)));
        } else {
            expect_that!(begun, pat!(program::Outcome::Run(anything())));
        }
    }
}

/// Twelve entries start at the same time, as when a data centre restarts. If each took all shards that
/// it found free, most of their writes would fail, and some entries would end up with all shards.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn simultaneous_starts_share_shards_without_contention() {
    let fleet = Fleet::start(1).await;
    let keepers: Vec<_> = (0..12).map(|n| fleet.keeper(&format!("e{n}"), 0)).collect();
    let count = |least: usize| keepers.iter().all(|k| k.shards().len() >= least);
    fleet::until("each keeps its share", || count(1)).await;
    let all = || keepers.iter().map(|k| k.shards().len()).sum::<usize>();
    fleet::until("all shards are kept", || all() == 16).await;
    expect_that!(keepers.iter().map(|k| k.shards().len()).max(), some(le(2)));
    // Twelve registrations, and a few transactions each to take and hand over shards.
    expect_that!(fleet.store.counts().writes, lt(12 * 12));
}

#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_entries_see_who_keeps_a_shard() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 8).await;
    fleet::until_kept(&a, 8).await;
    let theirs = b.shards()[0].shard;
    let owner = Owner::Remote {
        entry: "b".into(),
        address: "b:1".into(),
    };
    fleet::until("a knows", || a.owner(theirs) == owner).await;
}

/// An entry's acquisitions take effect, but none of the answers arrives. The store names it as the keeper
/// and no other entry may take the shards, so it has to detect this from the table and serve them.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_whose_acquisition_was_not_answered_are_served() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        debounce: Duration::from_millis(300),
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    let registered = keys::entry(fleet::ROOT, "a");
    fleet::until("a is registered", || fleet.store.get(&registered).is_some()).await;
    fleet
        .store
        .faults(0, |faults| faults.lose_probability = 1.0);
    fleet::until_kept(&a, 16).await;
}

/// The owner keys of an entry's shards vanish while it has changes that are not yet in the store, as when
/// its lease is revoked by mistake. It must reacquire the shards with its state in memory: reloaded from
/// the store, they would lack the turns whose callers wait.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_whose_keys_vanished_keeps_its_pending_changes() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        window: Duration::from_millis(1_500),
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, 16).await;
    // The first change is committed at once, the next one waits for the window.
    a.wait_durable(fleet::turn(&a, "p", 1)).await.unwrap();
    let ticket = fleet::turn(&a, "p", 2);
    let owners: Vec<String> = (0..16).map(|s| keys::owner(fleet::ROOT, s)).collect();
    for owner in &owners {
        fleet.store.delete(owner);
    }
    let are_back = || owners.iter().all(|owner| fleet.store.get(owner).is_some());
    fleet::until("a holds them again", are_back).await;
    a.set_window(Duration::ZERO);
    let mut done = a.wait_durable(ticket).await;
    for _ in 0..20 {
        if done != Err(keeper::Error::StoreUnavailable) {
            break;
        }
        done = a.wait_durable(ticket).await;
    }
    expect_that!(done, ok(anything()));
}

/// An entry is cut off; its successor serves a turn and is then stopped, so that the shards are free when
/// the first entry is connected again. Guards against serving from its outdated memory, which would
/// answer the next turn on a history that lacks one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_returning_keeper_reloads_free_shards() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    a.wait_durable(fleet::turn(&a, "p", 1)).await.unwrap();
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    b.wait_durable(fleet::turn(&b, "p", 2)).await.unwrap();
    b.close().await;
    fleet.store.faults(0, |faults| faults.outage = None);
    let turns = || fleet::committed(&a, "p").map(|(turns, _)| turns);
    fleet::until("a has the second turn", || turns() == Some(2)).await;
    fleet::until_kept(&a, 16).await;
}

// Guards against an entry that uses a stale table for as long as its watch cannot be opened.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_taken_over_without_a_watch() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&a, 8).await;
    fleet::until_kept(&b, 8).await;
    fleet.store.faults(1, |faults| faults.hang_watches = true);
    fleet.store.stall_watches(1);
    a.close().await;
    fleet::until_kept(&b, 16).await;
}

/// An entry is cut off until another has its shards. Afterwards its calls work but its watch delivers
/// nothing, so its table still names it as the keeper. It must not load the shards again: it would refuse
/// a program's next turn on a history that has continued elsewhere.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stale_table_gives_no_shards_back() {
    let fleet = Fleet::start(2).await;
    let client = fw_store::Client::new(fw_store::Options {
        endpoints: vec![fleet.store.endpoint(0)],
        timeout: Duration::from_millis(200),
        watch_idle_timeout: Duration::from_secs(60),
        ..fw_store::Options::default()
    });
    let a = keeper::Keeper::open(client, Fleet::options("a"));
    fleet::until_kept(&a, 16).await;
    let programs: Vec<String> = (0..32).map(|n| format!("p{n}")).collect();
    for program in &programs {
        a.wait_durable(fleet::turn(&a, program, 1)).await.unwrap();
    }
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    for program in &programs {
        b.wait_durable(fleet::turn(&b, program, 2)).await.unwrap();
    }
    fleet.store.faults(0, |faults| faults.outage = None);
    let turns = |program: &String| fleet::committed(&a, program).map(|(turns, _)| turns);
    fleet::until("a has noticed its lapsed lease", || {
        programs.iter().all(|program| turns(program) != Some(1))
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Meanwhile b may have handed some over to a, whose watch does not report it.
    let at_b = programs.iter().filter(|p| b.fence(b.shard_of(p)).is_some());
    let at_b: Vec<_> = at_b.collect();
    expect_that!(at_b, not(is_empty()));
    for program in at_b {
        b.wait_durable(fleet::turn(&b, program, 3)).await.unwrap();
        expect_that!(turns(program), not(some(eq(2))));
    }
}
