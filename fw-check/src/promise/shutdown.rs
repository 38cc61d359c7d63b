//! A graceful shutdown of a process cuts off no call.

use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;
use crate::event::ProcessId;
use crate::index::Call;
use crate::index::Index;
use crate::index::Outcome;
use crate::index::Request;

/// The part of the record that is attributed to one shutdown, as indices of entries.
struct Span {
    begun: usize,
    last_sent: usize,
    crashed: usize,
}

pub(crate) fn check(entries: &[Entry], index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut unfinished = 0;
    for (begun, entry) in entries.iter().enumerate() {
        let Event::ShutdownBegun { process } = &entry.event else {
            continue;
        };
        let crashed = crash_after(entries, process, begun).unwrap_or(entries.len());
        let ended = end_after(entries, process, begun);
        let span = Span {
            begun,
            // Calls sent later go to the restarted process of the same name.
            last_sent: ended.map_or(crashed, |(ended, _)| ended.min(crashed)),
            crashed,
        };
        check_calls(index, process, span, &mut tally);
        match ended {
            Some((ended, cut_off)) => tally.expect(cut_off == 0, &[begun, ended], || {
                format!("{process} stopped with {cut_off} requests in flight")
            }),
            None => unfinished += 1,
        }
    }
    tally.add_undecided(unfinished, "shutdowns whose end is not in the record");
    tally
}

/// Checks the calls to `process` that were in flight during `span`.
fn check_calls(index: &Index<'_>, process: &ProcessId, span: Span, tally: &mut Tally) {
    let is_under_way = |call: &&Call<'_>| {
        let ends = span.begun..span.crashed;
        let ends_within = call.outcome.is_some_and(|(end, _)| ends.contains(&end));
        receiver(call) == process && call.sent < span.last_sent && ends_within
    };
    for call in index.calls.values().filter(is_under_way) {
        let Some((end, outcome)) = call.outcome else {
            continue;
        };
        let is_cut_off = match outcome {
            Outcome::Lost { sent, by_caller } => sent && !by_caller,
            Outcome::Answered { whole, .. } => !whole,
            Outcome::Refused { .. } => false,
        };
        let indices = [span.begun, call.sent, end];
        tally.expect(!is_cut_off, &indices, || {
            format!("{process} cut off a call during its graceful shutdown")
        });
    }
}

fn receiver<'a>(call: &Call<'a>) -> &'a ProcessId {
    match call.request {
        Request::Turn(sent) => &sent.to,
        Request::Plain(sent) => &sent.to,
    }
}

fn crash_after(entries: &[Entry], process: &ProcessId, begun: usize) -> Option<usize> {
    let is_crash = |entry: &Entry| match &entry.event {
        Event::Crashed { process: crashed } => crashed == process,
        _ => false,
    };
    let found = entries.iter().skip(begun).position(is_crash);
    found.map(|after| begun + after)
}

fn end_after(entries: &[Entry], process: &ProcessId, begun: usize) -> Option<(usize, u32)> {
    let mut after = entries.iter().enumerate().skip(begun);
    after.find_map(|(at, entry)| match &entry.event {
        Event::ShutdownEnded {
            process: ended,
            cut_off,
        } if ended == process => Some((at, *cut_off)),
        _ => None,
    })
}
