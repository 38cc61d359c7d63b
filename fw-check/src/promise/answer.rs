//! Each answer is complete, and was produced by a run of the request that it answers.

use fw_base::digest::Digest;

use crate::check::Tally;
use crate::index::Index;
use crate::index::Outcome;
use crate::index::Run;

pub(crate) fn check(index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut unverified = 0;
    for call in index.calls.values() {
        let Some((end, Outcome::Answered { answer, whole, .. })) = call.outcome else {
            continue;
        };
        if !whole {
            let what = "an answer was truncated without an error".to_owned();
            tally.add_violation(&[call.sent, end], what);
            continue;
        }
        let mut runs = index.runs_of(call);
        let is_own = runs.any(|run| answer_before(run, end) == Some(answer));
        if index.runs.is_empty() {
            unverified += 1;
            continue;
        }
        tally.expect(is_own, &[call.sent, end], || {
            describe_mismatch(index, answer)
        });
    }
    tally.add_undecided(unverified, "answers in a record without runs at upstreams");
    tally
}

/// The answer of `run`, if it ended before `at`.
fn answer_before(run: &Run<'_>, at: usize) -> Option<Digest> {
    run.ended.filter(|(ended, _)| *ended < at)?.1
}

fn describe_mismatch(index: &Index<'_>, answer: Digest) -> String {
    let produced_it = |run: &&Run<'_>| {
        run.ended
            .is_some_and(|(_, produced)| produced == Some(answer))
    };
    match index.runs.iter().find(produced_it) {
        Some(run) => format!(
            "a caller received the answer that {} produced for another request",
            run.upstream
        ),
        None => "a caller received an answer that no upstream produced".to_owned(),
    }
}
