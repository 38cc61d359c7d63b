//! What one keeper made durable, the next one finds; what it did not hold any more, it can't write.

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
    expect_that!(fleet::standing(&a, "p"), some((eq(1), anything())));
}

/// A shopkeeper's editor has two turns behind it when the entry that keeps the program dies. Her
/// third turn reaches another entry. Without a replay, that one would start an empty history.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dead_keepers_programs_go_on_elsewhere() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    fleet::until_kept(&a, 16).await;
    for program in ["p", "q", "r"] {
        a.wait_durable(fleet::turn(&a, program, 1)).await.unwrap();
        a.wait_durable(fleet::turn(&a, program, 2)).await.unwrap();
    }
    let before = fleet::standing(&a, "p");
    fleet.store.faults(0, |faults| {
        faults.outage = Some(fw_fake::store::Outage::Hang)
    });
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&b, 16).await;
    expect_that!(fleet::standing(&b, "p"), eq(before));
    b.wait_durable(fleet::turn(&b, "p", 3)).await.unwrap();
    let replay = fleet::begin(&b, "q", fleet::delta(2, "ask 2", 77));
    expect_that!(replay, pat!(program::Outcome::Replay { turn: eq(&2), .. }));
}

/// An entry is paused (here: cut off) past its lease, another takes its shards and goes on. Then
/// the first wakes, finishes the turn it had in memory and writes. If that write got through,
/// the program would have two third turns, and the caller of the second would lose hers.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_keeper_that_wakes_is_fenced() {
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
    let after = fleet::standing(&b, "p");
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
    // Awake, it gets its share of the shards again, perhaps this one.
    let standing = || fleet::standing(&b, "p").or_else(|| fleet::standing(&a, "p"));
    fleet::until("the shard is kept", || standing().is_some()).await;
    expect_that!(standing(), eq(after));
}

/// The last write before a death was one whose answer was lost. It is in the store, so the turn
/// was made, and the caller who asks again must get that turn's answer and not a second run.
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

/// A hundred editors are busy at once. A store call for each turn would use up the store's rate,
/// which every other entry needs as well; their turns share calls, at most one in each window.
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
    // On a slow machine the hundred turns take several windows.
    expect_that!(fleet.store.counts().writes - before, le(10));
}

/// Somebody cut a segment short. The programs of other shards must not notice, and those of its
/// own get a clear error instead of a history with a hole.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_torn_segment_refuses_its_own_shard_only() {
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

/// A data centre comes back and twelve entries start in the same moment. If each took whatever it
/// found free, most of their writes would fail, and some would end up with all shards.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn many_that_start_at_once_share_without_a_stampede() {
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
async fn others_are_told_who_keeps_a_shard() {
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

/// An entry's calls take effect and none of their answers arrives, just as it takes its shards. The
/// store names it as their keeper, so nobody else may take them; it must find out and serve them.
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

/// The keys of an entry's shards vanish while it holds changes that the store lacks, as when its
/// lease is revoked by mistake. It must take the shards again with what it has in memory: read from
/// the store, they would lack the turns whose callers wait.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_whose_keys_vanished_goes_on_with_what_it_has() {
    let fleet = Fleet::start(1).await;
    let opts = keeper::Options {
        window: Duration::from_millis(1_500),
        ..Fleet::options("a")
    };
    let a = keeper::Keeper::open(fleet.client(0), opts);
    fleet::until_kept(&a, 16).await;
    // The first change goes to the store at once, the next one waits for the window.
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

/// An entry is cut off; its successor serves a turn and is then itself replaced, so that the shards
/// are free when the first one is back. Its memory is out of date though nobody holds them: serving
/// from it would answer the next turn on a history that lacks one.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_that_comes_back_to_free_shards_reads_them_anew() {
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
    let turns = || fleet::standing(&a, "p").map(|(turns, _)| turns);
    fleet::until("a has the second turn", || turns() == Some(2)).await;
    fleet::until_kept(&a, 16).await;
}

// Guards against an entry that goes on with an old table for as long as its watch cannot be opened.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shards_are_taken_over_without_a_watch() {
    let fleet = Fleet::start(2).await;
    let a = fleet.keeper("a", 0);
    let b = fleet.keeper("b", 1);
    fleet::until_kept(&a, 8).await;
    fleet::until_kept(&b, 8).await;
    fleet.store.faults(1, |faults| faults.hang_watches = true);
    fleet.store.silence_watches(1);
    a.close().await;
    fleet::until_kept(&b, 16).await;
}

/// An entry is cut off until another has its shards; when it is back its calls work, but its watch
/// stays silent, so that its table still names it as their keeper. It must not load them again: it
/// would refuse the program's next turn for a history that has gone on elsewhere.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_table_out_of_date_gives_no_shards_back() {
    let fleet = Fleet::start(2).await;
    let client = fw_store::Client::new(fw_store::Options {
        endpoints: vec![fleet.store.endpoint(0)],
        timeout: Duration::from_millis(200),
        watch_silence: Duration::from_secs(60),
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
    let turns = |program: &String| fleet::standing(&a, program).map(|(turns, _)| turns);
    fleet::until("a knows that its lease lapsed", || {
        programs.iter().all(|program| turns(program) != Some(1))
    })
    .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    // Meanwhile b may have handed some over, to an entry that does not hear of it.
    let at_b = programs.iter().filter(|p| b.fence(b.shard_of(p)).is_some());
    let at_b: Vec<_> = at_b.collect();
    expect_that!(at_b, not(is_empty()));
    for program in at_b {
        b.wait_durable(fleet::turn(&b, program, 3)).await.unwrap();
        expect_that!(turns(program), not(some(eq(2))));
    }
}
