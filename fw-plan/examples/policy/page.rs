//! Writes the measured part of `docs/POLICY.md` between two markers; the rest of the page is kept.

use std::fmt::Write;
use std::fs;
use std::io;
use std::path::Path;

use crate::Row;
use crate::Scenario;
use crate::sim::policy;
use crate::sim::trace;

const BEGIN: &str = "<!-- measured: begin -->";
const END: &str = "<!-- measured: end -->";

/// Replaces the measured part of the page at `path`.
pub fn write(rows: &[Row], path: &Path) -> io::Result<()> {
    let page = fs::read_to_string(path)?;
    let marked = page.split_once(BEGIN).and_then(|(before, rest)| {
        let (_, after) = rest.split_once(END)?;
        Some((before, after))
    });
    let Some((before, after)) = marked else {
        let message = format!("{} lacks `{BEGIN}` or `{END}`", path.display());
        return Err(io::Error::other(message));
    };
    let measured = render(rows).expect("writing to a string does not fail");
    fs::write(path, format!("{before}{BEGIN}\n\n{measured}\n{END}{after}"))
}

fn render(rows: &[Row]) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    for shape in [trace::SURATWALA, trace::FAIRGROUND] {
        let of_shape = rows.iter().filter(|row| row.cell.shape.name == shape.name);
        let of_shape: Vec<&Row> = of_shape.collect();
        writeln!(text, "### {}\n", shape.name)?;
        writeln!(
            text,
            "Capacity: {:.1} programs a second.\n",
            shape.capacity()
        )?;
        let (steady, faults): (Vec<&Row>, Vec<&Row>) = of_shape
            .into_iter()
            .partition(|row| row.cell.scenario == Scenario::Steady);
        write_table(&mut text, &steady)?;
        write_goals(&mut text, &steady)?;
        for scenario in Scenario::FAULTS {
            writeln!(text, "With {}:\n", scenario.name())?;
            let of_scenario = faults.iter().filter(|row| row.cell.scenario == scenario);
            let of_scenario: Vec<&Row> = of_scenario.copied().collect();
            write_table(&mut text, &of_scenario)?;
        }
    }
    Ok(text)
}

fn write_table(text: &mut String, rows: &[&Row]) -> std::fmt::Result {
    writeln!(
        text,
        "| policy | load | program p50 | p95 | p99 | p95 without tool pauses | wasted cache \
         | finished programs/s | their turns/s | refused | lost | under way at the end \
         | attempts a turn | plain p99 | plain refused |"
    )?;
    writeln!(
        text,
        "|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|"
    )?;
    for Row { cell, stats } in rows {
        write!(text, "| {} | {:.0} %", cell.policy.name, cell.load * 100.0)?;
        for quantile in [0.5, 0.95, 0.99] {
            write!(text, " | {:.2} s", stats.program_latency(quantile))?;
        }
        write!(text, " | {:.2} s", stats.latency_without_pauses(0.95))?;
        write!(text, " | {:.1} %", stats.wasted_fraction() * 100.0)?;
        write!(text, " | {:.1}", stats.goodput())?;
        write!(text, " | {:.0}", stats.finished_turns())?;
        write!(text, " | {:.1} %", stats.refused_fraction() * 100.0)?;
        write!(text, " | {:.1} %", stats.lost_fraction() * 100.0)?;
        write!(text, " | {}", stats.unfinished)?;
        write!(text, " | {:.2}", stats.attempts_per_turn())?;
        write!(text, " | {:.0} ms", stats.plain_latency(0.99))?;
        writeln!(text, " | {:.1} % |", stats.plain_refused_fraction() * 100.0)?;
    }
    writeln!(text)
}

fn write_goals(text: &mut String, rows: &[&Row]) -> std::fmt::Result {
    let of = |policy: &str, load: f64| {
        let found = rows
            .iter()
            .find(|row| row.cell.policy.name == policy && row.cell.load == load);
        &found.expect("every policy runs at every load").stats
    };
    let product = |load| of(policy::PRODUCT, load);
    let fewest = of("fewest outstanding, FCFS", 0.95);
    writeln!(text, "| goal | bound | measured | |\n|---|--:|--:|---|")?;
    let mut line = |goal: &str, bound: f64, value: f64| {
        let verdict = if value <= bound { "met" } else { "**missed**" };
        writeln!(text, "| {goal} | {bound:.2} | {value:.3} | {verdict} |")
    };
    line(
        "program p95 at 95 % against fewest outstanding, FCFS",
        0.5,
        product(0.95).program_latency(0.95) / fewest.program_latency(0.95),
    )?;
    line(
        "the same without tool pauses",
        0.5,
        product(0.95).latency_without_pauses(0.95) / fewest.latency_without_pauses(0.95),
    )?;
    for load in crate::LOADS.into_iter().filter(|load| *load != 1.0) {
        let percent = load * 100.0;
        let others = rows.iter().filter(|row| row.cell.load == load);
        let others = others.filter(|row| row.cell.policy.name != policy::PRODUCT);
        let others = others.filter(|row| row.cell.policy.name != policy::NO_BUDGET);
        let p95 = others.map(|row| row.stats.program_latency(0.95));
        let best = p95.fold(f64::INFINITY, f64::min);
        let own = product(load).program_latency(0.95);
        line(
            &format!("program p95 at {percent:.0} % against the best other baseline"),
            1.0,
            own / best,
        )?;
        let without = of(policy::NO_BUDGET, load).program_latency(0.95);
        line(
            &format!("program p95 at {percent:.0} % against no retry budget"),
            1.0,
            own / without,
        )?;
    }
    line(
        "wasted cache at 95 % against cache-blind",
        1.0 / 3.0,
        product(0.95).wasted_fraction() / of("cache-blind", 0.95).wasted_fraction(),
    )?;
    line(
        "goodput at 100 % against that at 200 %, programs",
        1.0 / 0.95,
        product(1.0).goodput() / product(2.0).goodput(),
    )?;
    line(
        "the same in turns of finished programs",
        1.0 / 0.95,
        product(1.0).finished_turns() / product(2.0).finished_turns(),
    )?;
    line(
        "plain p99 at 200 % against 50 %",
        1.5,
        product(2.0).plain_latency(0.99) / product(0.5).plain_latency(0.99),
    )?;
    writeln!(text)
}
