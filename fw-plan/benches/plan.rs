//! Cost of single decisions at four sizes each, so that slopes can be stated.

use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use fw_base::id;
use fw_plan::admit;
use fw_plan::place;
use fw_plan::queue;
use fw_plan::subset;
use rand_pcg::Pcg64;

const PLACES: usize = 20;

fn name(index: usize) -> id::UpstreamId {
    format!("llm-{index}").into()
}

fn place(index: usize) -> id::PlaceId {
    format!("hall-{}", index % PLACES).into()
}

fn team(index: usize) -> id::TeamId {
    format!("team-{index}").into()
}

fn placing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place");
    for size in [9, 120, 1_200, 12_000] {
        let view = view(size);
        let mut rng = Pcg64::new(1, 1);
        let program = "program-7".into();
        let place = place(0);
        let model = "model-2".into();
        let req = place::Request {
            program: Some(&program),
            prompt_tokens: 20_000,
            place: &place,
            model: Some(&model),
            avoid: &[],
        };
        let options = place::Options::default();
        group.bench_function(BenchmarkId::from_parameter(size), |bench| {
            bench.iter(|| place::choose(&view, black_box(&req), &options, &mut rng));
        });
    }
    group.finish();
}

fn view(size: usize) -> place::View {
    let mut view = place::View::new();
    for from in 0..PLACES {
        for to in 0..PLACES {
            view.set_distance(&place(from), &place(to), Duration::from_millis(5));
        }
    }
    let models: Vec<id::ModelId> = (0..6).map(|n| format!("model-{n}").into()).collect();
    for index in 0..size {
        view.add(&name(index), &place(index));
        view.set_models(&name(index), &models);
        let load = place::Load {
            queued: (index % 5) as u32,
            running: 16,
            batch: 32,
            ..place::Load::default()
        };
        view.update_load(&name(index), load, Duration::from_secs(1));
    }
    for program in 0..1_000 {
        let program = format!("program-{program}").into();
        view.set_cached(&program, &name(size / 2), 15_000);
    }
    view
}

fn admission(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("admit");
    for teams in [17, 170, 1_700, 17_000] {
        let mut admit = admit::Controller::new(admit::Options::default());
        let mut reqs = Vec::new();
        for index in 0..teams {
            let req = admit::Request {
                lane: admit::Lane::Turn,
                team: team(index),
                share: 1.0,
                deadline: Duration::from_secs(10),
            };
            admit.decide(Duration::ZERO, &req);
            reqs.push(req);
        }
        // A real rate of calls: the sweep over the teams is paid for by the calls between two.
        let mut now = Duration::ZERO;
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(teams), |bench| {
            bench.iter(|| {
                now += Duration::from_micros(60);
                next = (next + 1) % reqs.len();
                let req = &reqs[next];
                let outcome = admit.decide(now, black_box(req));
                admit.started(now, req.lane, &req.team);
                admit.finished(now, req.lane, &req.team, Duration::from_millis(1));
                outcome
            });
        });
    }
    group.finish();
}

fn queueing(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("queue");
    for waiting in [10, 100, 1_000, 10_000] {
        let mut queue = queue::Queue::new(queue::Options {
            capacity: 100_000,
            ..queue::Options::default()
        });
        let mut now = Duration::ZERO;
        let mut next = 0;
        while queue.len() < waiting {
            next += 1;
            push(&mut queue, now, next);
        }
        group.bench_function(BenchmarkId::from_parameter(waiting), |bench| {
            bench.iter(|| {
                now += Duration::from_micros(60);
                next += 1;
                push(&mut queue, now, next);
                queue.pop(now, black_box(&queue::Running::default()))
            });
        });
    }
    group.finish();
}

fn push(queue: &mut queue::Queue, now: Duration, index: u64) {
    let job = queue::Job {
        id: index,
        team: team((index % 170) as usize),
        share: 1.0,
        attained: Duration::from_millis(index * 7_919 % 30_000),
        prompt_tokens: index * 104_729 % 20_000,
        deadline: Duration::from_secs(1_000_000),
        alone: false,
    };
    queue.push(now, job).expect("the queue has room");
}

fn watching(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("subset");
    group.sample_size(10);
    for entries in [3, 38, 120, 380] {
        let member = |prefix: &str, index: usize| subset::Member {
            id: format!("{prefix}-{index}").into(),
            place: format!("place-{}", index % 20).into(),
        };
        let members: Vec<_> = (0..entries).map(|index| member("entry", index)).collect();
        let upstreams: Vec<_> = (0..12_000).map(|index| member("llm", index)).collect();
        let options = subset::Options::default();
        group.bench_function(BenchmarkId::from_parameter(entries), |bench| {
            bench.iter(|| {
                subset::watched_by(&members[0].id, &members, black_box(&upstreams), &options)
            });
        });
    }
    group.finish();
}

fn main() {
    let time = Duration::from_millis(800);
    let mut criterion = Criterion::default()
        .warm_up_time(time / 2)
        .measurement_time(time)
        .configure_from_args();
    placing(&mut criterion);
    admission(&mut criterion);
    queueing(&mut criterion);
    watching(&mut criterion);
    criterion.final_summary();
}
