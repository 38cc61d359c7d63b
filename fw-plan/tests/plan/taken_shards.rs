//! When a shard may serve after a takeover.

use std::time::Duration;
use std::time::Instant;

use fw_plan::takeover;
use fw_plan::takeover::Holder;
use fw_plan::takeover::Holders;
use fw_plan::takeover::Outcome;
use googletest::prelude::*;

const TICK: Duration = Duration::from_millis(100);

/// An instant far enough from the clock's origin to subtract from.
fn start() -> Instant {
    Instant::now() + Duration::from_secs(1_000)
}

fn answered_at(at: Instant) -> Holder {
    let mut holder = Holder::default();
    holder.answered(at - Duration::from_secs(500));
    holder.answered(at);
    holder
}

fn decide(now: Instant, since: Instant, holders: &Holders) -> Outcome {
    takeover::decide(now, since, holders, &takeover::Options::default())
}

#[gtest]
fn a_shard_serves_once_all_holders_answered() {
    let since = start();
    let mut holders = Holders {
        sides_known: true,
        sides: vec![answered_at(since - TICK), answered_at(since + TICK)],
        entries: vec![answered_at(since - TICK)],
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(2)));
    holders.sides[0].answered(since + TICK);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
    holders.entries[0].answered(since + TICK);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
}

// A side that holds a program's last answer misses one heartbeat on a busy machine, just as a shard
// is acquired. The side counted as unreachable and was not waited for, and a tenth of a second
// later the program's next turn was refused as out of order.
#[gtest]
fn a_late_heartbeat_is_waited_for() {
    let since = start();
    let mut side = answered_at(since - TICK);
    side.missed(since + TICK, false);
    let mut holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
    holders.sides[0].answered(since + TICK * 2);
    expect_that!(
        decide(since + TICK * 2, since, &holders),
        eq(Outcome::Serve)
    );
}

// A side reports that it holds turns of the shard, and the call that transfers them is lost. The
// shard counted as complete because no turns had arrived, and the callers of those turns met a
// history without them.
#[gtest]
fn reported_turns_are_waited_for() {
    let since = start();
    let mut side = answered_at(since + TICK);
    side.has_pending_turns = true;
    let holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
}

// An entry that has just started acquires shards before it has received the list of sides. It knew
// of no side, so none was missing, and it served what the journal had.
#[gtest]
fn nothing_is_served_before_the_sides_are_known() {
    let since = start();
    let holders = Holders::default();
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(0)));
}

// A machine dies with its entry while all sides respond and have reported what they hold. The
// entry's programs continue at once, although it can never be queried.
#[gtest]
fn a_dead_entry_is_not_waited_for_while_the_sides_are_there() {
    let since = start();
    let mut dead = answered_at(since - TICK);
    dead.missed(since, false);
    let mut holders = Holders {
        sides_known: true,
        sides: vec![answered_at(since + TICK)],
        entries: vec![dead],
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
    // With a side that has restarted recently, the entry may be the only holder.
    let mut fresh = Holder::default();
    fresh.answered(since + TICK);
    holders.sides.push(fresh);
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Wait(1)));
}

#[gtest]
fn dead_holders_are_not_waited_for() {
    let since = start();
    let mut gone = answered_at(since - TICK);
    gone.missed(since, true);
    let mut silent = answered_at(since - Duration::from_secs(20));
    silent.missed(since - Duration::from_secs(10), false);
    let holders = Holders {
        sides_known: true,
        sides: vec![gone, silent],
        entries: Vec::new(),
    };
    expect_that!(decide(since + TICK, since, &holders), eq(Outcome::Serve));
}

// A side that does not respond may be lost with what it holds. The programs of its shards wait for
// it for five seconds, as for a dead keeper, and not forever.
#[gtest]
fn the_wait_is_bounded() {
    let since = start();
    let mut side = answered_at(since - TICK);
    side.missed(since, false);
    let holders = Holders {
        sides_known: true,
        sides: vec![side],
        entries: Vec::new(),
    };
    let grace = takeover::Options::default().grace;
    expect_that!(decide(since + grace, since, &holders), eq(Outcome::Wait(1)));
    let later = since + grace + TICK;
    expect_true!(decide(later, since, &holders).serves());
}
