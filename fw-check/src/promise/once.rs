//! A call that is not idempotent runs at most once, however often it is sent.
//!
//! The same request under another idempotency key is another call. A request may therefore run as
//! often as there are keys under which at least one of its calls was not reported as not run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::check::Tally;
use crate::event::Work;
use crate::index::Index;
use crate::index::Request;

/// The calls that carry the same request.
#[derive(Default)]
struct Group<'a> {
    indices: Vec<usize>,
    keys: BTreeSet<Option<&'a SmolStr>>,
}

pub(crate) fn check(index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut groups: BTreeMap<[u8; 32], Group<'_>> = BTreeMap::new();
    for call in index.calls.values() {
        let Request::Plain(sent) = call.request else {
            continue;
        };
        if sent.idempotent {
            continue;
        }
        let group = groups.entry(*sent.request.as_bytes()).or_default();
        group.indices.push(call.sent);
        if !call.is_not_run() {
            group.keys.insert(sent.key.as_ref());
        }
    }
    for (request, group) in groups {
        let runs = index.runs.iter().filter(|run| match run.work {
            Work::Plain(ran) => *ran.as_bytes() == request,
            Work::Turn(_) => false,
        });
        let started: Vec<_> = runs.map(|run| run.started).collect();
        let (count, allowed) = (started.len(), group.keys.len());
        let indices = [group.indices, started].concat();
        tally.expect(count <= allowed, &indices, || {
            format!("a call that is not idempotent ran {count} times under {allowed} keys")
        });
    }
    tally
}
