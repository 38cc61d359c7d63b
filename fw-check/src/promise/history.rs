//! Each prompt and each history read matches the history of its program through the last answered
//! turn, and no turn is refused as if an answered turn had not taken place.

use fw_base::error::Kind;
use fw_base::id;

use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;
use crate::event::Work;
use crate::index::Index;
use crate::index::Match;
use crate::index::Outcome;
use crate::index::Request;
use crate::index::TurnKey;

pub(crate) fn check(entries: &[Entry], index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    check_answers(index, &mut tally);
    check_prompts(index, &mut tally);
    check_reads(entries, index, &mut tally);
    check_refusals(entries, index, &mut tally);
    tally
}

/// All answers to a turn are equal, however often it is sent.
fn check_answers(index: &Index<'_>, tally: &mut Tally) {
    for (key, turn) in &index.turns {
        let is_same = turn.received.windows(2).all(|pair| pair[0] == pair[1]);
        if !is_same {
            let TurnKey { program, turn } = key;
            let what = format!("turn {turn} of {program} received two different answers");
            tally.add_violation(&answer_positions(index, *key), what);
        }
    }
}

fn answer_positions(index: &Index<'_>, key: TurnKey<'_>) -> Vec<usize> {
    let calls = index.calls.values();
    let of_turn = calls.filter(|c| turn_in(&c.request, key.program) == Some(key.turn));
    let ends = of_turn.filter_map(|call| call.outcome);
    let answers = ends.filter(|(_, end)| matches!(end, Outcome::Answered { .. }));
    answers.map(|(at, _)| at).collect()
}

fn check_prompts(index: &Index<'_>, tally: &mut Tally) {
    let (mut unattributed, mut undecided) = (0, 0);
    for run in &index.runs {
        let Work::Turn(prompt) = run.work else {
            continue;
        };
        let matches = run.turns.iter().map(|key| index.match_prompt(*key, prompt));
        let matches: Vec<_> = matches.collect();
        if matches.is_empty() {
            unattributed += 1;
        } else if matches.contains(&Match::Yes) {
            tally.add_held();
        } else if matches.contains(&Match::Unknown) {
            undecided += 1;
        } else {
            let TurnKey { program, turn } = run.turns[0];
            let what = format!("turn {turn} of {program} ran with the wrong history");
            tally.add_violation(&[run.started], what);
        }
    }
    tally.add_undecided(unattributed, "runs of turns that no recorded caller sent");
    tally.add_undecided(undecided, "runs after a turn whose answer was not recorded");
}

fn check_reads(entries: &[Entry], index: &Index<'_>, tally: &mut Tally) {
    let mut undecided = 0;
    for (at, entry) in entries.iter().enumerate() {
        let Event::HistoryRead { program, messages } = &entry.event else {
            continue;
        };
        let answered = last_answered(index, program, at);
        let sent = last_sent(index, program, at);
        // A turn whose answer is still in flight may or may not be in the history yet.
        let matches = (answered..=sent).map(|last| index.match_history(program, last, messages));
        let matches: Vec<_> = matches.collect();
        if matches.contains(&Match::Yes) {
            tally.add_held();
        } else if matches.contains(&Match::Unknown) {
            undecided += 1;
        } else {
            let what =
                format!("the history of {program} does not match its {answered} answered turns");
            tally.add_violation(&[at], what);
        }
    }
    tally.add_undecided(
        undecided,
        "histories read after a turn whose answer was not recorded",
    );
}

/// The turn after an answered one is not refused with an unknown program or a wrong turn number.
/// For a turn that was sent several times, only refusals before any answer to it or to a later turn
/// count; programs that have ended are skipped.
fn check_refusals(entries: &[Entry], index: &Index<'_>, tally: &mut Tally) {
    for call in index.calls.values() {
        let Some((end, Outcome::Refused { kind, .. })) = call.outcome else {
            continue;
        };
        let Request::Turn(sent) = call.request else {
            continue;
        };
        let program = &sent.program;
        let answered = last_answered(index, program, end);
        let follows =
            sent.turn == answered + 1 && last_answered(index, program, call.sent) == answered;
        if answered == 0 || !follows || was_ended(entries, program, end) {
            continue;
        }
        let is_lost = matches!(kind, Kind::UnknownProgram | Kind::WrongTurn);
        tally.expect(!is_lost, &[call.sent, end], || {
            let label = kind.row().label;
            format!("{program} had {answered} answered turns, and the next was refused: {label}")
        });
    }
}

fn was_ended(entries: &[Entry], program: &id::ProgramId, by: usize) -> bool {
    entries[..by].iter().any(|entry| match &entry.event {
        Event::ProgramEnded { program: ended } => ended == program,
        _ => false,
    })
}

/// The last turn that was answered before `at`; 0 if there is none.
fn last_answered(index: &Index<'_>, program: &id::ProgramId, at: usize) -> id::Turn {
    let turns = index.calls.values().filter_map(|call| {
        let is_answered = matches!(call.outcome, Some((end, Outcome::Answered { .. })) if end < at);
        turn_in(&call.request, program).filter(|_| is_answered)
    });
    turns.max().unwrap_or(0)
}

/// The last turn that was sent before `at`; 0 if there is none.
fn last_sent(index: &Index<'_>, program: &id::ProgramId, at: usize) -> id::Turn {
    let calls = index.calls.values().filter(|call| call.sent < at);
    let turns = calls.filter_map(|call| turn_in(&call.request, program));
    turns.max().unwrap_or(0)
}

fn turn_in(request: &Request<'_>, program: &id::ProgramId) -> Option<id::Turn> {
    match request {
        Request::Turn(sent) if sent.program == *program => Some(sent.turn),
        _ => None,
    }
}
