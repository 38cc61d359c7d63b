//! A call that was refused as not run did not run.
//!
//! Several calls may carry the same request, and a run does not identify its call. A run therefore
//! contradicts a refusal only if no other call can account for it, that is, no call that was sent
//! before the run started and was not itself refused as not run.

use fw_base::error::Ran;

use crate::check::Tally;
use crate::event::Work;
use crate::index::Call;
use crate::index::Index;
use crate::index::Outcome;
use crate::index::Request;
use crate::index::Run;
use crate::index::TurnKey;

pub(crate) fn check(index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let calls: Vec<&Call<'_>> = index.calls.values().collect();
    check_kinds(&calls, &mut tally);
    for call in calls.iter().filter(|call| call.is_not_run()) {
        let runs = index.runs_of(call).filter(|run| may_serve(run, call));
        let unexplained = runs.into_iter().find(|run| {
            let explains = |other: &&&Call<'_>| !other.is_not_run() && may_serve(run, other);
            calls.iter().find(explains).is_none()
        });
        let end = call.outcome.map(|(end, _)| end);
        let mut indices = vec![call.sent];
        indices.extend(end);
        indices.extend(unexplained.map(|run| run.started));
        tally.expect(unexplained.is_none(), &indices, || {
            "a call that was refused as not run did run".to_owned()
        });
    }
    let is_uncertain = |call: &&&Call<'_>| match call.outcome {
        Some((_, Outcome::Refused { ran, .. })) => ran == Ran::Maybe,
        Some((_, Outcome::Lost { sent, .. })) => sent,
        Some((_, Outcome::Answered { .. })) => false,
        None => true,
    };
    let uncertain = calls.iter().filter(is_uncertain).count();
    tally.add_undecided(
        uncertain,
        "calls without a certain outcome: each may or may not have run",
    );
    tally
}

/// Whether a refused call ran is reported as the table of error kinds defines it.
fn check_kinds(calls: &[&Call<'_>], tally: &mut Tally) {
    for call in calls {
        let Some((end, Outcome::Refused { kind, ran })) = call.outcome else {
            continue;
        };
        let row = kind.row();
        if ran != row.ran {
            let what = format!(
                "{} was reported with ran = {ran:?} instead of {:?}",
                row.label, row.ran
            );
            tally.add_violation(&[call.sent, end], what);
        }
    }
}

/// Whether `run` may belong to `call`: it runs the same request, for a turn with the messages of
/// this call (a turn can be resent with other messages), and started after the call was sent.
fn may_serve(run: &Run<'_>, call: &Call<'_>) -> bool {
    let is_same = match (call.request, run.work) {
        (Request::Turn(sent), Work::Turn(prompt)) => {
            let (program, turn) = (&sent.program, sent.turn);
            let is_turn = run.turns.contains(&TurnKey { program, turn });
            is_turn && prompt.ends_with(&sent.messages)
        }
        (Request::Plain(sent), Work::Plain(request)) => sent.request == *request,
        _ => false,
    };
    is_same && call.sent < run.started
}
