//! Costs of an entry's view of upstreams: placement state and watched subset.

use std::time::Duration;

use fw_base::id;
use fw_plan::place;
use fw_plan::subset;

use crate::process;
use crate::slope;

/// Watched upstreams per entry: workers times watchers each, divided by the entries.
const WATCHED_PER_ENTRY: f64 = 12_000.0 * 4.0 / 380.0;
/// Programs per entry whose cached prefixes are tracked.
const PROGRAMS_PER_ENTRY: f64 = 140_000.0 / 380.0;

/// Measures the rows of this role.
pub fn measure() -> Vec<slope::Row> {
    vec![memory_per_upstream(), memory_per_cache(), time_per_subset()]
}

fn memory_per_upstream() -> slope::Row {
    let point = |count: usize| {
        let before = process::resident();
        let view = view(count);
        let after = process::resident();
        process::leak(view);
        (count as f64, (after - before) / 1024.0)
    };
    slope::Row {
        role: "entry",
        what: "memory for each upstream watched",
        unit: "KiB",
        points: [1_500, 3_000, 6_000, 12_000]
            .into_iter()
            .map(point)
            .collect(),
        target: WATCHED_PER_ENTRY,
        target_note: "12,000 workers, 4 watchers each, over 380 entries",
    }
}

fn memory_per_cache() -> slope::Row {
    let point = |count: usize| {
        let mut view = view(100);
        let before = process::resident();
        for n in 0..count {
            let upstream = format!("worker-{}", n % 100).into();
            view.set_cached(&format!("program-{n}").into(), &upstream, 10_000);
        }
        let after = process::resident();
        process::leak(view);
        (count as f64, (after - before) / 1024.0)
    };
    slope::Row {
        role: "entry",
        what: "memory for each program whose cache is known",
        unit: "KiB",
        points: [10_000, 20_000, 40_000, 80_000]
            .into_iter()
            .map(point)
            .collect(),
        target: PROGRAMS_PER_ENTRY,
        target_note: "140,000 programs over 380 entries",
    }
}

fn time_per_subset() -> slope::Row {
    let entries: Vec<_> = (0..380).map(|n| member("entry", n)).collect();
    let me: id::EntryId = "entry-7".into();
    let point = |count: usize| {
        let upstreams: Vec<_> = (0..count).map(|n| member("worker", n)).collect();
        let cpu_time = process::cpu_time(|| {
            let watched =
                subset::watched_by(&me, &entries, &upstreams, &subset::Options::default());
            std::hint::black_box(watched);
        });
        (count as f64, cpu_time.as_secs_f64() * 1e6)
    };
    slope::Row {
        role: "entry",
        what: "processor time to find the watched among each listed upstream, 380 entries",
        unit: "us",
        points: [1_500, 3_000, 6_000, 12_000]
            .into_iter()
            .map(point)
            .collect(),
        target: 12_000.0 / 2.0,
        target_note: "12,000 workers listed every 2 s: us of each second",
    }
}

fn member(what: &str, n: usize) -> subset::Member {
    subset::Member {
        id: format!("{what}-{n}").into(),
        place: format!("place-{}", n % 20).into(),
    }
}

fn view(count: usize) -> place::View {
    let mut view = place::View::new();
    for n in 0..count {
        let member = member("worker", n);
        view.add(&member.id, &member.place);
        view.update_load(&member.id, place::Load::default(), Duration::ZERO);
    }
    view
}
