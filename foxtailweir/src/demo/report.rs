//! Prints the results of the demonstration.

use std::collections::BTreeSet;
use std::time::Duration;

use fw_base::id;
use fw_check::check;
use fw_check::event::Event;
use fw_entry::turn::run;
use hdrhistogram::Histogram;
use metrics_exporter_prometheus::PrometheusHandle;

use super::programs;
use super::script;
use crate::command::io;

/// Significant digits of the latency histogram.
const DIGITS: u8 = 3;

/// Prints all results, the verdict last.
pub(super) fn print(results: &script::Results, io: &mut io::Io<'_>) {
    print_programs(results, io);
    print_calls(results, io);
    print_cache(results, io);
    io.print("\nPromises checked:");
    for finding in &results.report.findings {
        io.print(format_finding(finding));
    }
    print_verdict(results, io);
}

fn print_programs(results: &script::Results, io: &mut io::Io<'_>) {
    use programs::Sort;
    io.print("\nPrograms, from the first turn to the confirmed end, pauses for tools included:");
    for (sort, name) in [(Sort::Site, "site"), (Sort::Mediation, "mediation")] {
        let done = results.programs.iter().filter(|done| done.sort == sort);
        let done: Vec<_> = done.collect();
        let good = done.iter().filter(|done| done.is_as_expected());
        let good: Vec<_> = good.map(|done| done.took).collect();
        let (finished, all) = (good.len(), done.len());
        let latency = latency(&good);
        io.print(format_args!(
            "{name:<10} {finished} of {all} finished; {latency}"
        ));
    }
    for done in results.programs.iter().filter(|d| d.sort == Sort::Endless) {
        let programs::Finished { outcome, .. } = done;
        let answered = outcome.answered;
        let end = match outcome.refused {
            Some(kind) => kind.row().label,
            None => "no refusal",
        };
        io.print(format_args!(
            "endless    {answered} turns answered, then: {end}"
        ));
    }
    for done in results
        .programs
        .iter()
        .filter(|done| !done.is_as_expected())
    {
        io.print(format_args!("UNFINISHED {:?}", done.outcome));
    }
    for program in &results.unread {
        io.print(format_args!("UNREAD     {program}"));
    }
}

fn latency(took: &[Duration]) -> String {
    let mut histogram = Histogram::<u64>::new(DIGITS).expect("the digits are in range");
    for took in took {
        histogram += u64::try_from(took.as_millis()).unwrap_or(u64::MAX);
    }
    if histogram.is_empty() {
        return "latency unknown".to_owned();
    }
    let p50 = histogram.value_at_quantile(0.50);
    let p95 = histogram.value_at_quantile(0.95);
    format!("p50 {p50} ms, p95 {p95} ms")
}

fn print_calls(results: &script::Results, io: &mut io::Io<'_>) {
    let events = || results.entries.iter().map(|entry| &entry.event);
    let answered: BTreeSet<_> = events()
        .filter_map(|event| match event {
            Event::Answered { call, .. } => Some(*call),
            _ => None,
        })
        .collect();
    let lookups: Vec<_> = events()
        .filter_map(|event| match event {
            Event::PlainSent(sent) if sent.idempotent => Some(sent.call),
            _ => None,
        })
        .collect();
    let got = lookups.iter().filter(|call| answered.contains(*call));
    let (got, all) = (got.count(), lookups.len());
    io.print(format_args!("lookups    {got} of {all} answered"));
    let changes = events().filter(|event| matches!(event, Event::RecordAccepted { .. }));
    io.print(format_args!(
        "records    {} changes accepted",
        changes.count()
    ));
    let unsure = results
        .programs
        .iter()
        .map(|done| done.outcome.unsure_tools);
    let unsure: u32 = unsure.sum();
    io.print(format_args!(
        "tools      {unsure} calls with unknown outcome"
    ));
}

fn print_cache(results: &script::Results, io: &mut io::Io<'_>) {
    let script::Results {
        prefilled, cached, ..
    } = results;
    let wasted = match results.metrics.as_ref() {
        Some(metrics) => {
            let wasted = counter(metrics, run::WASTED);
            let share = 100.0 * wasted as f64 / (prefilled + cached).max(1) as f64;
            format!("{wasted} were in some cache and prefilled again ({share:.1} %)")
        }
        None => "wasted tokens unknown: the process has another metrics recorder".to_owned(),
    };
    io.print(format_args!(
        "cache      of the prompt tokens, {cached} were cached, {prefilled} prefilled; {wasted}"
    ));
}

/// Returns the sum of a counter over all its labels.
fn counter(metrics: &PrometheusHandle, name: &str) -> id::Tokens {
    let text = metrics.render();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<id::Tokens>().ok());
    values.sum()
}

/// Formats the verdict on a promise: one line, and further lines for counterexamples or unknowns.
fn format_finding(finding: &check::Finding) -> String {
    let check::Verdict::NotObserved { unknown } = &finding.verdict else {
        return finding.to_string();
    };
    let mut line = format!("not observed: {}", finding.promise.text());
    for cause in unknown {
        line.push_str(&format!("\n           - unknown: {cause}"));
    }
    line
}

fn print_verdict(results: &script::Results, io: &mut io::Io<'_>) {
    let count = |is: fn(&check::Verdict) -> bool| {
        let findings = results.report.findings.iter();
        findings.filter(|finding| is(&finding.verdict)).count()
    };
    let held = count(|verdict| matches!(verdict, check::Verdict::Held { .. }));
    let violated = count(|verdict| matches!(verdict, check::Verdict::Violated { .. }));
    let unobserved = count(|verdict| matches!(verdict, check::Verdict::NotObserved { .. }));
    let good = results.programs.iter().filter(|done| done.is_as_expected());
    let (good, all) = (good.count(), results.programs.len());
    let verdict = if results.has_passed() {
        "GOOD"
    } else {
        "NOT GOOD"
    };
    let took = results.took.as_secs_f32();
    io.print(format_args!(
        "\n{verdict}: {held} promises held, {violated} violated, {unobserved} not observed; \
         {good} of {all} programs ended as expected; {took:.1} s"
    ));
}
