//! Index of the calls, runs and turns of a record, with the attribution of runs to turns.

use std::collections::BTreeMap;
use std::collections::HashMap;

use fw_base::digest::Digest;
use fw_base::error;
use fw_base::id;

use crate::event;
use crate::event::Entry;
use crate::event::Event;

/// The request of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Request<'a> {
    Turn(&'a event::TurnSent),
    Plain(&'a event::PlainSent),
}

/// The outcome of a call as its caller observed it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    Answered {
        answer: Digest,
        whole: bool,
        tokens: id::Tokens,
    },
    Refused {
        kind: error::Kind,
        ran: error::Ran,
    },
    Lost {
        sent: bool,
        by_caller: bool,
    },
}

/// A call, with its positions in the record.
#[derive(Debug)]
pub(crate) struct Call<'a> {
    /// Index of the entry at which it was sent.
    pub sent: usize,
    pub request: Request<'a>,
    /// Index of the entry at which it ended, and the outcome.
    pub outcome: Option<(usize, Outcome)>,
}

impl Call<'_> {
    /// Whether its caller was informed, or observed itself, that it did not run.
    pub fn is_not_run(&self) -> bool {
        match self.outcome {
            Some((_, Outcome::Refused { ran, .. })) => ran == error::Ran::No,
            Some((_, Outcome::Lost { sent, .. })) => !sent,
            _ => false,
        }
    }
}

/// A run at an upstream, with its positions in the record.
#[derive(Debug)]
pub(crate) struct Run<'a> {
    pub started: usize,
    pub upstream: &'a id::UpstreamId,
    pub work: &'a event::Work,
    /// Index of the entry at which it ended, and its answer.
    pub ended: Option<(usize, Option<Digest>)>,
    /// The turns that it may belong to: more than one if message texts are not unique.
    pub turns: Vec<TurnKey<'a>>,
}

/// Identifies a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TurnKey<'a> {
    pub program: &'a id::ProgramId,
    pub turn: id::Turn,
}

/// The messages and answers of a turn, from all its calls and runs.
#[derive(Debug, Default)]
pub(crate) struct Turn<'a> {
    /// The messages that it adds; several lists if it was resent with other messages after a
    /// refusal.
    pub messages: Vec<&'a [Digest]>,
    /// Answers that its callers received.
    pub received: Vec<Digest>,
    /// Answers that its runs produced.
    pub produced: Vec<Digest>,
}

/// Whether a prompt or a history matches that of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Match {
    Yes,
    No,
    Unknown,
}

/// The calls, runs and turns of a record.
#[derive(Debug, Default)]
pub(crate) struct Index<'a> {
    pub calls: BTreeMap<event::CallId, Call<'a>>,
    pub runs: Vec<Run<'a>>,
    pub turns: BTreeMap<TurnKey<'a>, Turn<'a>>,
    /// Positions in `runs` by the turn that the runs may belong to.
    turn_runs: HashMap<TurnKey<'a>, Vec<usize>>,
    /// Positions in `runs` by the plain request.
    plain_runs: HashMap<Digest, Vec<usize>>,
}

impl<'a> Index<'a> {
    pub fn new(entries: &'a [Entry]) -> Self {
        let mut index = Self::default();
        index.add_calls(entries);
        index.add_runs(entries);
        index.add_turns();
        index.attribute_runs();
        index.index_runs();
        index
    }

    /// The runs of the request that `call` carries, whether for this call or for another.
    pub fn runs_of(&self, call: &Call<'a>) -> impl Iterator<Item = &Run<'a>> {
        let positions = match call.request {
            Request::Turn(sent) => self.turn_runs.get(&TurnKey {
                program: &sent.program,
                turn: sent.turn,
            }),
            Request::Plain(sent) => self.plain_runs.get(&sent.request),
        };
        let positions = positions.map(Vec::as_slice).unwrap_or_default();
        positions.iter().map(|position| &self.runs[*position])
    }

    /// Whether `messages` are the history of `program` through turn `last`, according to the
    /// answers that its callers received or, for a turn without any, that its runs produced.
    pub fn match_history(
        &self,
        program: &id::ProgramId,
        last: id::Turn,
        messages: &[Digest],
    ) -> Match {
        let mut rest = messages;
        for turn in 1..=last {
            let Some(expected) = self.turns.get(&TurnKey { program, turn }) else {
                return Match::Unknown;
            };
            let answers = match (expected.received.is_empty(), expected.produced.is_empty()) {
                (false, _) => &expected.received,
                (true, false) => &expected.produced,
                (true, true) => return Match::Unknown,
            };
            let added = expected.messages.iter().find(|m| rest.starts_with(m));
            let after = added.and_then(|added| rest[added.len()..].split_first());
            match after {
                Some((answer, after)) if answers.contains(answer) => rest = after,
                _ => return Match::No,
            }
        }
        match rest.is_empty() {
            true => Match::Yes,
            false => Match::No,
        }
    }

    /// Whether a prompt is that of a turn: the program's history followed by the turn's messages.
    pub fn match_prompt(&self, key: TurnKey<'_>, prompt: &[Digest]) -> Match {
        let Some(turn) = self.turns.get(&key) else {
            return Match::Unknown;
        };
        let before = turn.messages.iter().filter_map(|m| prompt.strip_suffix(*m));
        let matches: Vec<_> = before
            .map(|before| self.match_history(key.program, key.turn.saturating_sub(1), before))
            .collect();
        if matches.contains(&Match::Yes) {
            Match::Yes
        } else if matches.contains(&Match::Unknown) {
            Match::Unknown
        } else {
            Match::No
        }
    }

    /// The turn that `run` belongs to, if it is unambiguous.
    pub fn turn_of_run(&self, run: &Run<'a>) -> Option<TurnKey<'a>> {
        match run.turns.as_slice() {
            [only] => Some(*only),
            _ => None,
        }
    }

    fn add_calls(&mut self, entries: &'a [Entry]) {
        for (at, entry) in entries.iter().enumerate() {
            let (call, end) = match &entry.event {
                Event::TurnSent(sent) => {
                    self.add_call(sent.call, at, Request::Turn(sent));
                    continue;
                }
                Event::PlainSent(sent) => {
                    self.add_call(sent.call, at, Request::Plain(sent));
                    continue;
                }
                Event::Answered {
                    call,
                    answer,
                    whole,
                    tokens,
                } => {
                    let (answer, whole, tokens) = (*answer, *whole, *tokens);
                    let end = Outcome::Answered {
                        answer,
                        whole,
                        tokens,
                    };
                    (call, end)
                }
                Event::Refused { call, kind, ran } => {
                    let (kind, ran) = (*kind, *ran);
                    (call, Outcome::Refused { kind, ran })
                }
                Event::Lost {
                    call,
                    sent,
                    by_caller,
                } => {
                    let (sent, by_caller) = (*sent, *by_caller);
                    (call, Outcome::Lost { sent, by_caller })
                }
                _ => continue,
            };
            if let Some(call) = self.calls.get_mut(call) {
                call.outcome.get_or_insert((at, end));
            }
        }
    }

    fn add_call(&mut self, id: event::CallId, sent: usize, request: Request<'a>) {
        let outcome = None;
        self.calls.insert(
            id,
            Call {
                sent,
                request,
                outcome,
            },
        );
    }

    fn add_runs(&mut self, entries: &'a [Entry]) {
        let mut positions = HashMap::new();
        for (at, entry) in entries.iter().enumerate() {
            match &entry.event {
                Event::RunStarted {
                    run,
                    upstream,
                    work,
                } => {
                    positions.insert(*run, self.runs.len());
                    self.runs.push(Run {
                        started: at,
                        upstream,
                        work,
                        ended: None,
                        turns: Vec::new(),
                    });
                }
                Event::RunEnded { run, answer } => {
                    if let Some(position) = positions.get(run) {
                        self.runs[*position].ended = Some((at, *answer));
                    }
                }
                _ => (),
            }
        }
    }

    fn add_turns(&mut self) {
        for call in self.calls.values() {
            let Request::Turn(sent) = call.request else {
                continue;
            };
            let key = TurnKey {
                program: &sent.program,
                turn: sent.turn,
            };
            let turn = self.turns.entry(key).or_default();
            if !turn.messages.contains(&sent.messages.as_slice()) {
                turn.messages.push(&sent.messages);
            }
            if let Some((_, Outcome::Answered { answer, .. })) = call.outcome {
                turn.received.push(answer);
            }
        }
    }

    /// Attributes runs to turns: by the last message of the prompt and, where that is not unique,
    /// by the history before it. The answer of a run may be part of that history, so the runs are
    /// processed in the order of the record.
    fn attribute_runs(&mut self) {
        let mut by_last: HashMap<Digest, Vec<TurnKey<'a>>> = HashMap::new();
        for (key, turn) in &self.turns {
            for last in turn.messages.iter().filter_map(|m| m.last()) {
                by_last.entry(*last).or_default().push(*key);
            }
        }
        for position in 0..self.runs.len() {
            let event::Work::Turn(prompt) = self.runs[position].work else {
                continue;
            };
            let last = prompt.last().and_then(|last| by_last.get(last));
            let mut keys = last.cloned().unwrap_or_default();
            if keys.len() > 1 {
                let matching = keys.iter().copied();
                let matching: Vec<_> = matching
                    .filter(|key| self.match_prompt(*key, prompt) != Match::No)
                    .collect();
                // If none matches, the run stays attributed to all candidates.
                if !matching.is_empty() {
                    keys = matching;
                }
            }
            let answer = self.runs[position].ended.and_then(|(_, answer)| answer);
            if let ([only], Some(answer)) = (keys.as_slice(), answer) {
                self.turns.entry(*only).or_default().produced.push(answer);
            }
            self.runs[position].turns = keys;
        }
    }

    fn index_runs(&mut self) {
        for (position, run) in self.runs.iter().enumerate() {
            if let event::Work::Plain(request) = run.work {
                self.plain_runs.entry(*request).or_default().push(position);
            }
            for key in &run.turns {
                self.turn_runs.entry(*key).or_default().push(position);
            }
        }
    }
}
