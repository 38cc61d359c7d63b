//! The prefix cache of a stand-in engine: whole programs in, least recently used out.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use fw_base::digest;
use fw_base::id;
use serde::Deserialize;
use serde::Serialize;

use crate::recording;

/// Most cache events kept for readers.
const MAX_EVENTS: usize = 10_000;

/// The end of one message within a prompt: the digest up to there and the tokens up to there.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Mark {
    /// Digest of the prompt up to here.
    pub digest: digest::Digest,
    /// Tokens of the prompt up to here.
    pub tokens: id::Tokens,
}

/// A published change.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    /// Position in the log; 1 is the first.
    pub seq: u64,
    /// The program.
    pub program: id::ProgramId,
    /// Tokens held from now on.
    pub tokens: id::Tokens,
    #[serde(skip)]
    at: Instant,
}

/// What a cache holds, and the log of its changes.
#[derive(Debug, Default)]
pub(super) struct Cache {
    size: id::Tokens,
    used: id::Tokens,
    gap: u64,
    clock: u64,
    seq: u64,
    programs: HashMap<id::ProgramId, Entry>,
    order: BTreeMap<u64, id::ProgramId>,
    events: VecDeque<Event>,
    recording: Option<recording::Recording>,
}

#[derive(Debug)]
struct Entry {
    marks: Vec<Mark>,
    used_at: u64,
}

impl Entry {
    fn tokens(&self) -> id::Tokens {
        self.marks.last().map_or(0, |mark| mark.tokens)
    }
}

impl Cache {
    pub(super) fn new(size: id::Tokens, gap: u64, recording: Option<recording::Recording>) -> Self {
        Self {
            size,
            gap,
            recording,
            ..Self::default()
        }
    }

    pub(super) fn used(&self) -> id::Tokens {
        self.used
    }

    /// Tokens at the head of `prompt` that are cached for `program`.
    pub(super) fn cached(&self, program: &str, prompt: &[Mark]) -> id::Tokens {
        let Some(entry) = self.programs.get(program) else {
            return 0;
        };
        let pairs = entry.marks.iter().zip(prompt);
        let common = pairs.take_while(|(cached, requested)| cached.digest == requested.digest);
        common.last().map_or(0, |(cached, _)| cached.tokens)
    }

    /// Holds `marks` for `program`, and evicts others for it.
    pub(super) fn put(&mut self, program: &id::ProgramId, marks: Vec<Mark>) {
        let was_cached = self.take_out(program);
        let entry = Entry {
            marks,
            used_at: self.clock,
        };
        let tokens = entry.tokens();
        if tokens > self.size {
            self.publish(program, 0);
            if let Some(recording) = self.recording.as_ref().filter(|_| was_cached) {
                recording.record_memory_freed(program);
            }
            return;
        }
        while self.used + tokens > self.size {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            self.remove(&oldest);
        }
        self.used += tokens;
        self.order.insert(self.clock, program.clone());
        self.clock += 1;
        self.programs.insert(program.clone(), entry);
        if let Some(recording) = self.recording.as_ref().filter(|_| !was_cached) {
            recording.record_memory_held(program);
        }
        self.publish(program, tokens);
    }

    /// Frees what is held for `program`; false if nothing was.
    pub(super) fn remove(&mut self, program: &id::ProgramId) -> bool {
        let was_cached = self.take_out(program);
        if was_cached {
            self.publish(program, 0);
            if let Some(recording) = &self.recording {
                recording.record_memory_freed(program);
            }
        }
        was_cached
    }

    pub(super) fn marks(&self, program: &str) -> Option<&[Mark]> {
        Some(&self.programs.get(program)?.marks)
    }

    pub(super) fn contents(&self) -> BTreeMap<id::ProgramId, id::Tokens> {
        let entries = self.programs.iter();
        entries
            .map(|(program, entry)| (program.clone(), entry.tokens()))
            .collect()
    }

    /// Events after `from` that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration) -> Vec<Event> {
        let due = |event: &&Event| event.seq > from && event.at.elapsed() >= lag;
        self.events.iter().filter(due).cloned().collect()
    }

    fn take_out(&mut self, program: &id::ProgramId) -> bool {
        let Some(entry) = self.programs.remove(program) else {
            return false;
        };
        self.order.remove(&entry.used_at);
        self.used -= entry.tokens();
        true
    }

    fn publish(&mut self, program: &id::ProgramId, tokens: id::Tokens) {
        self.seq += 1;
        if self.gap != 0 && self.seq.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.seq,
            program: program.clone(),
            tokens,
            at: Instant::now(),
        });
    }
}
