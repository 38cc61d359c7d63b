//! Each answer is whole, and was made by a run of the very request that it answers.

use fw_base::digest::Digest;

use crate::check::Tally;
use crate::index::End;
use crate::index::Index;
use crate::index::Run;

pub(crate) fn check(index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut unseen = 0;
    for call in index.calls.values() {
        let Some((end, End::Answered { answer, whole, .. })) = call.end else {
            continue;
        };
        if !whole {
            let what = "an answer broke off without an error".to_owned();
            tally.violated(&[call.sent, end], what);
            continue;
        }
        let mut runs = index.runs_of(call);
        let is_own = runs.any(|run| made(run, end) == Some(answer));
        if index.runs.is_empty() {
            unseen += 1;
            continue;
        }
        tally.expect(is_own, &[call.sent, end], || crossed(index, answer));
    }
    tally.unknown(unseen, "answers without any record of the upstreams");
    tally
}

/// The answer that `run` had made by `at`.
fn made(run: &Run<'_>, at: usize) -> Option<Digest> {
    run.ended.filter(|(ended, _)| *ended < at)?.1
}

fn crossed(index: &Index<'_>, answer: Digest) -> String {
    let makes = |run: &&Run<'_>| run.ended.is_some_and(|(_, made)| made == Some(answer));
    match index.runs.iter().find(makes) {
        Some(run) => format!(
            "a caller got the answer that {} made to another request",
            run.upstream
        ),
        None => "a caller got an answer that no upstream made".to_owned(),
    }
}
