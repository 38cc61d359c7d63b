//! Trials of single options, printed and not kept.

use std::time::Duration;

use fw_plan::cache_retention;

use crate::Cell;
use crate::LOADS;
use crate::Row;
use crate::Scene;
use crate::sim::policy;
use crate::sim::trace;

/// The cells that `args` ask for: `user=`, `policy=`, `load=` and `scene=` choose, all else is an option.
pub fn cells(args: &[String]) -> Vec<Cell> {
    let mut cells = Vec::new();
    for shape in [trace::SURATWALA, trace::FAIRGROUND] {
        if value(args, "user").is_some_and(|user| user != shape.name) {
            continue;
        }
        let name = value(args, "policy").unwrap_or(policy::PRODUCT);
        let policies = policy::Policy::all(&shape).into_iter();
        for mut policy in policies.filter(|policy| policy.name == name) {
            for arg in args {
                set(&mut policy, arg);
            }
            let cell = |load| Cell {
                shape: shape.clone(),
                policy: policy.clone(),
                load,
                scene: scene(args),
            };
            cells.extend(loads(args).into_iter().map(cell));
        }
    }
    cells
}

/// Prints a line for each row.
pub fn print(rows: &[Row]) {
    for Row { cell, stats } in rows {
        print!("{:10} {:24}", cell.shape.name, cell.policy.name);
        print!(" {:30}", cell.scene.name());
        print!(" {:3.0} %", cell.load * 100.0);
        for quantile in [0.5, 0.95, 0.99] {
            print!(" {:6.2}", stats.program(quantile));
        }
        print!(" s | waited {:6.2}", stats.waited(0.95));
        print!(" | waste {:4.1} %", stats.waste() * 100.0);
        print!(" | goodput {:6.2}", stats.goodput());
        print!(" turns {:4.0} /s", stats.finished_turns());
        print!(" | refused {:4.1} %", stats.refused_part() * 100.0);
        print!(" lost {:4.1} %", stats.lost_part() * 100.0);
        print!(" left {:4}", stats.unfinished);
        print!(" attempts {:4.2}", stats.attempts_per_turn());
        print!(" turns refused {:5}", stats.turn_refusals);
        print!(" | plain p99 {:7.1} ms", stats.plain(0.99));
        println!(" refused {:4.1} %", stats.plain_refused_part() * 100.0);
    }
}

fn value<'a>(args: &'a [String], key: &str) -> Option<&'a str> {
    let pairs = args.iter().filter_map(|arg| arg.split_once('='));
    pairs.rev().find(|pair| pair.0 == key).map(|pair| pair.1)
}

fn loads(args: &[String]) -> Vec<f64> {
    let Some(list) = value(args, "load") else {
        return LOADS.to_vec();
    };
    let number = |load: &str| load.parse().expect("`load` is a list of numbers");
    list.split(',').map(number).collect()
}

fn scene(args: &[String]) -> Scene {
    match value(args, "scene") {
        Some("slow") => Scene::Slow,
        Some("flap") => Scene::Flap,
        Some("storm") => Scene::Storm,
        _ => Scene::Steady,
    }
}

/// Sets one option, durations in seconds.
fn set(policy: &mut policy::Policy, arg: &str) {
    let (key, value) = arg.split_once('=').expect("arguments are `key=value`");
    if ["user", "policy", "load", "scene"].contains(&key) {
        return;
    }
    let value: f64 = value.parse().expect("options are numbers");
    let time = Duration::from_secs_f64(value);
    match key {
        "admit.target" => policy.admit.target = time,
        "admit.plain_target" => policy.admit.plain_target = time,
        "admit.interval" => policy.admit.interval = time,
        "admit.new_part" => policy.admit.new_part = value,
        "admit.turn_part" => policy.admit.turn_part = value,
        "admit.grow" => policy.admit.grow = value,
        "admit.shrink" => policy.admit.shrink = value,
        "admit.initial" => policy.admit.initial = value,
        "queue.aging" => policy.queue.aging = value,
        "queue.attained_cap" => policy.queue.attained_cap = time,
        "queue.notice_steps" => policy.queue.notice_steps = value,
        "place.choices" => policy.choose.choices = value as usize,
        "place.margin" => policy.choose.margin = time,
        "place.margin_part" => policy.choose.margin_part = value,
        "place.cache_weight" => policy.choose.cache_weight = value,
        "keep.horizon" => policy.caches.horizon = time,
        "keep.latency" if value > 0.0 => policy.caches.weight = cache_retention::Weight::Latency,
        "keep.latency" => policy.caches.weight = cache_retention::Weight::Cache,
        "keep.pressure" => policy.caches.pressure = value,
        _ => panic!("no option `{key}`"),
    }
}
