//! A turn runs only after a run of the previous turn has ended with an answer.

use std::collections::HashMap;

use crate::check::Tally;
use crate::index::Index;
use crate::index::TurnKey;

pub(crate) fn check(index: &Index<'_>) -> Tally {
    let mut tally = Tally::default();
    let mut first_answer: HashMap<TurnKey<'_>, usize> = HashMap::new();
    for run in &index.runs {
        let (Some(key), Some((ended, Some(_)))) = (index.turn_of_run(run), run.ended) else {
            continue;
        };
        let first = first_answer.entry(key).or_insert(ended);
        *first = ended.min(*first);
    }
    let mut ambiguous = 0;
    for run in &index.runs {
        let Some(key) = index.turn_of_run(run) else {
            ambiguous += usize::from(run.turns.len() > 1);
            continue;
        };
        if key.turn <= 1 {
            continue;
        }
        let turn = key.turn - 1;
        let before = first_answer.get(&TurnKey { turn, ..key }).copied();
        let is_after = before.is_some_and(|ended| ended < run.started);
        let mut indices = vec![run.started];
        indices.extend(before);
        tally.expect(is_after, &indices, || {
            let TurnKey { program, turn } = key;
            format!("turn {turn} of {program} ran before the previous turn was answered")
        });
    }
    tally.add_undecided(
        ambiguous,
        "runs that cannot be attributed to one turn by their messages",
    );
    tally
}
