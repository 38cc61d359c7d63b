//! A program's answered turns, their tokens and its charges stay within its budget.

use std::collections::BTreeMap;

use fw_base::id;

use crate::check::Tally;
use crate::event::Entry;
use crate::event::Event;
use crate::index::Index;
use crate::index::Outcome;
use crate::index::Request;

pub(crate) fn check(entries: &[Entry], index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut unlimited = 0;
    for (at, entry) in entries.iter().enumerate() {
        let Event::BudgetSet {
            program,
            tokens,
            turns,
        } = &entry.event
        else {
            continue;
        };
        let answered = answered(index, program);
        let used: id::Tokens = answered.values().sum();
        let charged = charged(entries, program);
        if tokens.is_none() && turns.is_none() {
            unlimited += 1;
        }
        if let Some(limit) = *tokens {
            tally.expect(used <= limit, &[at], || {
                format!("{program} received answers with {used} tokens; its budget is {limit}")
            });
            tally.expect(charged <= limit, &[at], || {
                format!("{program} was charged {charged} tokens; its budget is {limit}")
            });
        }
        if let Some(limit) = *turns {
            let count = answered.len();
            tally.expect(count <= limit as usize, &[at], || {
                format!("{program} received answers to {count} turns; its budget is {limit}")
            });
        }
    }
    tally.add_undecided(unlimited, "programs without a limit");
    tally
}

/// The tokens of each answered turn. A turn that was answered several times is counted once.
fn answered(index: &Index<'_>, program: &id::ProgramId) -> BTreeMap<id::Turn, id::Tokens> {
    let mut turns = BTreeMap::new();
    for call in index.calls.values() {
        let Request::Turn(sent) = call.request else {
            continue;
        };
        if let (true, Some((_, Outcome::Answered { tokens, .. }))) =
            (sent.program == *program, call.outcome)
        {
            turns.insert(sent.turn, tokens);
        }
    }
    turns
}

fn charged(entries: &[Entry], program: &id::ProgramId) -> id::Tokens {
    let charges = entries.iter().map(|entry| match &entry.event {
        Event::Charged {
            program: to,
            tokens,
        } if to == program => *tokens,
        _ => 0,
    });
    charges.sum()
}
