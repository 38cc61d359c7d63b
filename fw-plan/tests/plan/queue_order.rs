//! The order in which the wait queue releases turns to the engine.

use std::collections::HashMap;
use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::queue;
use googletest::prelude::*;
use proptest::prelude::*;

fn job(id: u64, team: &str, attained: u64) -> queue::Job {
    queue::Job {
        id,
        team: team.into(),
        share: 1.0,
        attained: Duration::from_millis(attained),
        prompt_tokens: 100,
        deadline: Duration::from_secs(3_600),
        alone: false,
    }
}

fn new() -> queue::Queue {
    queue::Queue::new(queue::Options::default())
}

/// Releases all jobs, one every 10 ms, each with 500 ms of engine time.
fn drain(queue: &mut queue::Queue, teams: &HashMap<u64, id::TeamId>) -> Vec<id::AttemptId> {
    let mut order = Vec::new();
    let mut now = Duration::from_secs(1);
    while let Some(id) = queue.pop(now, &queue::Running::default()) {
        queue.finished(&teams[&id], Duration::from_millis(500));
        now += Duration::from_millis(10);
        order.push(id);
    }
    order
}

#[gtest]
fn the_program_with_least_service_goes_first() {
    let mut queue = new();
    for (id, attained) in [(1, 30_000), (2, 0), (3, 5_000)] {
        queue.push(Duration::ZERO, job(id, "a", attained)).unwrap();
    }
    let teams = [1, 2, 3].map(|id| (id, "a".into())).into();
    expect_that!(
        drain(&mut queue, &teams),
        elements_are![eq(&2), eq(&3), eq(&1)]
    );
}

// Short programs arrive continuously while one with much attained service waits. Under pure least
// attained service it would never run, and its caller would see a turn that hangs.
#[gtest]
fn a_long_program_is_not_starved_by_short_ones() {
    let mut queue = new();
    queue.push(Duration::ZERO, job(1, "a", 60_000)).unwrap();
    let options = queue::Options::default();
    let bound = options.attained_cap.as_secs_f64() / options.aging;
    let mut released = None;
    for second in 1..1_000_u64 {
        let now = Duration::from_secs(second);
        queue.push(now, job(second + 1, "a", 0)).unwrap();
        if queue.pop(now, &queue::Running::default()) == Some(1) {
            released = Some(second as f64);
            break;
        }
    }
    expect_that!(released, some(le(bound + 2.0)));
}

#[gtest]
fn a_full_queue_refuses_at_once_with_a_retry_time() {
    let mut queue = queue::Queue::new(queue::Options {
        capacity: 4,
        contention_threshold: 1.0,
        ..queue::Options::default()
    });
    for id in 0..4 {
        queue.push(Duration::ZERO, job(id, "a", 0)).unwrap();
    }
    let refused = queue.push(Duration::ZERO, job(9, "a", 0)).unwrap_err();
    expect_that!(refused.kind, eq(error::Kind::QueueFull));
    expect_that!(refused.retry_after, gt(Duration::ZERO));
}

// A queue releases one job every 100 ms and fifty are waiting. A caller with one second left must
// be refused now, not when its second is over.
#[gtest]
fn a_deadline_that_cannot_be_met_is_refused_at_the_push() {
    let mut queue = new();
    let mut now = Duration::ZERO;
    for id in 0..100 {
        queue.push(now, job(id, "a", 0)).unwrap();
    }
    for _ in 0..50 {
        now += Duration::from_millis(100);
        queue.pop(now, &queue::Running::default());
    }
    let hasty = queue::Job {
        deadline: Duration::from_secs(1),
        ..job(1_000, "a", 0)
    };
    let refused = queue.push(now, hasty).unwrap_err();
    expect_that!(refused.kind, eq(error::Kind::DeadlineUnmeetable));
    expect_that!(refused.retry_after, gt(Duration::from_secs(1)));
}

// A request suspected of having crashed an engine must not take others with it: it runs only in an
// empty engine, and a busy engine is drained for it soon.
#[gtest]
fn a_suspect_runs_alone_and_is_not_starved() {
    let mut queue = new();
    let suspect = queue::Job {
        alone: true,
        ..job(1, "a", 0)
    };
    queue.push(Duration::ZERO, suspect).unwrap();
    queue.push(Duration::ZERO, job(2, "a", 0)).unwrap();
    queue.push(Duration::ZERO, job(3, "a", 0)).unwrap();
    let busy = queue::Running {
        jobs: 1,
        ..queue::Running::default()
    };
    expect_that!(queue.pop(Duration::ZERO, &busy), some(eq(2)));
    let later = Duration::from_secs(1);
    expect_that!(queue.pop(later, &busy), none());
    expect_that!(queue.pop(later, &queue::Running::default()), some(eq(1)));
    let with_suspect = queue::Running {
        alone: true,
        ..busy
    };
    expect_that!(queue.pop(later, &with_suspect), none());
}

#[gtest]
fn expired_jobs_are_returned() {
    let mut queue = new();
    let short = queue::Job {
        deadline: Duration::from_secs(1),
        ..job(1, "a", 0)
    };
    queue.push(Duration::ZERO, short).unwrap();
    queue.push(Duration::ZERO, job(2, "a", 0)).unwrap();
    expect_that!(queue.expire(Duration::from_secs(2)), elements_are![eq(&1)]);
    expect_that!(queue.len(), eq(1));
}

proptest! {
    #![proptest_config(crate::workload::fixed())]

    // Every job that is pushed is released exactly once, whatever is removed meanwhile, as long as
    // the engine has room: no job is lost or starves, and no room stays unused.
    #[test]
    fn every_job_is_released_once(
        jobs in prop::collection::vec((0_usize..8, 0_u64..90_000, 0_u64..40_000, any::<bool>()), 1..200)
    ) {
        let mut queue = new();
        let mut teams = HashMap::new();
        let mut removed = 0;
        for (id, (team, attained, tokens, remove)) in jobs.iter().enumerate() {
            let id = id as u64;
            let name = format!("team-{team}");
            let one = queue::Job { prompt_tokens: *tokens, ..job(id, &name, *attained) };
            queue.push(Duration::from_millis(id), one).unwrap();
            teams.insert(id, name.as_str().into());
            if *remove && id > 0 && queue.remove(id - 1) {
                removed += 1;
            }
        }
        let mut order = drain(&mut queue, &teams);
        prop_assert_eq!(order.len() + removed, jobs.len());
        prop_assert!(queue.is_empty());
        order.sort_unstable();
        order.dedup();
        prop_assert_eq!(order.len() + removed, jobs.len());
    }

    // Teams with enough waiting jobs get engine time in proportion to their shares, within a few
    // jobs.
    #[test]
    fn teams_get_their_shares(shares in prop::collection::vec(1_u32..5, 2..6)) {
        let mut queue = new();
        let mut teams = HashMap::new();
        let mut id = 0;
        for (team, share) in shares.iter().enumerate() {
            for _ in 0..200 {
                let name = format!("team-{team}");
                let one = queue::Job { share: f64::from(*share), ..job(id, &name, 0) };
                queue.push(Duration::ZERO, one).unwrap();
                teams.insert(id, name.as_str().into());
                id += 1;
            }
        }
        let mut got = vec![0_u32; shares.len()];
        let mut now = Duration::from_secs(1);
        for _ in 0..150 {
            let id = queue.pop(now, &queue::Running::default()).unwrap();
            queue.finished(&teams[&id], Duration::from_millis(500));
            now += Duration::from_millis(10);
            got[(id / 200) as usize] += 1;
        }
        let total: u32 = shares.iter().sum();
        for (share, got) in shares.iter().zip(got) {
            let fair = 150.0 * f64::from(*share) / f64::from(total);
            prop_assert!((f64::from(got) - fair).abs() <= 3.0);
        }
    }
}
