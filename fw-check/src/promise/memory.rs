//! An engine frees a program's KV cache within [`Options::free_within`] of the program's end.

use std::time::Duration;

use fw_base::id;

use crate::check::Options;
use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;

/// The part of the record during which an engine holds KV cache for a program.
struct HeldSpan<'a> {
    upstream: &'a id::UpstreamId,
    program: &'a id::ProgramId,
    from: usize,
    until: Option<usize>,
}

pub(crate) fn check(entries: &[Entry], opts: &Options) -> Tally {
    let mut tally = Tally::default();
    let spans = held_spans(entries);
    let end_of_record = entries.last().map(|entry| entry.at).unwrap_or_default();
    let mut undecided = 0;
    for (ended, entry) in entries.iter().enumerate() {
        let Event::ProgramEnded { program } = &entry.event else {
            continue;
        };
        for span in spans.iter().filter(|span| span.program == program) {
            let since = entry.at.max(entries[span.from].at);
            let until = span.until.map(|until| entries[until].at);
            let is_late = |at: Duration| at > since + opts.free_within;
            if until.is_none() && !is_late(end_of_record) {
                undecided += 1;
                continue;
            }
            let is_freed = until.is_some_and(|at| !is_late(at));
            tally.expect(is_freed, &[ended, span.from], || {
                let upstream = span.upstream;
                let within = opts.free_within;
                format!("{upstream} held KV cache for {program} more than {within:?} after its end")
            });
        }
    }
    tally.add_undecided(
        undecided,
        "programs whose KV cache was still held at the end of the record",
    );
    tally
}

fn held_spans(entries: &[Entry]) -> Vec<HeldSpan<'_>> {
    let mut spans: Vec<HeldSpan<'_>> = Vec::new();
    for (at, entry) in entries.iter().enumerate() {
        match &entry.event {
            Event::MemoryHeld { upstream, program } => {
                let is_same = |h: &HeldSpan<'_>| h.upstream == upstream && h.program == program;
                if !spans.iter().any(|h| is_same(h) && h.until.is_none()) {
                    spans.push(HeldSpan {
                        upstream,
                        program,
                        from: at,
                        until: None,
                    });
                }
            }
            Event::MemoryFreed { upstream, program } => {
                let is_same =
                    |h: &&mut HeldSpan<'_>| h.upstream == upstream && h.program == program;
                let same = spans.iter_mut().filter(is_same);
                same.for_each(|span| _ = span.until.get_or_insert(at));
            }
            // An engine loses its KV cache when it crashes.
            Event::Crashed { process } => {
                let on_upstream = spans.iter_mut().filter(|span| span.upstream == process);
                on_upstream.for_each(|span| _ = span.until.get_or_insert(at));
            }
            _ => (),
        }
    }
    spans
}
