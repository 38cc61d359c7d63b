//! Concurrency at a shard's lock: requests that change the shard, and the flush that takes the
//! changes.

use std::collections::BTreeSet;
use std::time::Duration;

use fw_keep::shard::Shard;
use shuttle::Config;
use shuttle::Runner;
use shuttle::scheduler::PctScheduler;
use shuttle::sync::Arc;
use shuttle::sync::Mutex;
use shuttle::thread;

use crate::fleet;

const NOW: Duration = Duration::from_secs(1);
const SEED: u64 = 20_261_202;
const DEPTH: usize = 3;
const SCHEDULES: usize = 2_000;

/// State that the keeper shares between its threads.
struct Shared {
    shards: [Mutex<Shard>; 2],
    dirty: Mutex<BTreeSet<usize>>,
}

/// A request changes the shard under its lock and marks it as dirty afterwards, without that lock.
fn change(shared: &Shared, index: usize, claim: u64) {
    let key = fleet::key(&format!("k{claim}"));
    let mut shard = shared.shards[index].lock().unwrap();
    shard.open_claim(&key, fleet::fingerprint("body"), NOW);
    drop(shard);
    shared.dirty.lock().unwrap().insert(index);
}

/// The flush first takes the set of dirty shards, and then the changes of each.
fn flush(shared: &Shared) -> usize {
    let dirty = std::mem::take(&mut *shared.dirty.lock().unwrap());
    let mut written = 0;
    for index in dirty {
        let mut shard = shared.shards[index].lock().unwrap();
        if let Some(batch) = shard.take_batch() {
            written += batch.entries.len();
            shard.mark_durable(batch.last_position);
        }
    }
    written
}

/// A change arrives after the flush took the set of dirty shards and before it takes the shard's
/// changes. If the shard's mark were cleared and the change left behind, its caller would wait
/// forever for the commit.
#[test]
fn every_change_is_flushed_or_leaves_its_shard_dirty() {
    let run = || {
        let shared = Arc::new(Shared {
            shards: [Mutex::new(Shard::new(0)), Mutex::new(Shard::new(1))],
            dirty: Mutex::new(BTreeSet::new()),
        });
        let changes = (0..3_u64).map(|n| {
            let shared = Arc::clone(&shared);
            thread::spawn(move || change(&shared, (n % 2) as usize, n))
        });
        let changes: Vec<_> = changes.collect();
        let flusher = {
            let shared = Arc::clone(&shared);
            thread::spawn(move || flush(&shared) + flush(&shared))
        };
        for change in changes {
            change.join().unwrap();
        }
        let written = flusher.join().unwrap() + flush(&shared);
        assert_eq!(written, 3, "each change is written once");
        for shard in &shared.shards {
            let shard = shard.lock().unwrap();
            assert_eq!(shard.durable_position(), shard.last_position());
        }
    };
    let scheduler = PctScheduler::new_from_seed(SEED, DEPTH, SCHEDULES);
    Runner::new(scheduler, Config::default()).run(run);
}
