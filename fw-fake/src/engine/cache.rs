//! Prefix cache of a stand-in engine: an LRU cache with one entry per program.

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

/// Maximum number of cache events retained for readers.
const MAX_EVENTS: usize = 10_000;

/// End of one message within a prompt, with digest and token count of the prefix up to it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Mark {
    /// Digest of the prefix.
    pub digest: digest::Digest,
    /// Tokens in the prefix.
    pub tokens: id::Tokens,
}

/// A published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    /// Sequence number in the event log, from 1.
    pub seq: u64,
    /// Program whose entry changed.
    pub program: id::ProgramId,
    /// Tokens cached after the change; 0 after an eviction.
    pub tokens: id::Tokens,
    #[serde(skip)]
    at: Instant,
}

/// Cached prefixes by program, and the log of their changes.
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

    /// Tokens of the longest prefix of `prompt` that is cached for `program`.
    pub(super) fn cached(&self, program: &str, prompt: &[Mark]) -> id::Tokens {
        let Some(entry) = self.programs.get(program) else {
            return 0;
        };
        let pairs = entry.marks.iter().zip(prompt);
        let common = pairs.take_while(|(cached, requested)| cached.digest == requested.digest);
        common.last().map_or(0, |(cached, _)| cached.tokens)
    }

    /// Caches `marks` for `program`, evicting least recently used programs to make room.
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

    /// Evicts the entry of `program`; returns false if there was none.
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

    /// Events with a sequence number above `from` that are at least `lag` old.
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
