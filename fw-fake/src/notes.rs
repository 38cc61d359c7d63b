//! What a stand-in upstream notes of itself in the record of a run.

use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use fw_check::event;
use fw_check::recorder;

/// Where upstreams note their runs, and what they are called there.
#[derive(Clone, Debug)]
pub struct Notes {
    /// The record.
    pub recorder: recorder::Recorder,
    /// The upstream's name. Each one that is started adds a number of its own to it.
    pub upstream: id::UpstreamId,
}

impl Notes {
    /// The same, with a name that no other upstream of the record has.
    pub(crate) fn named(self) -> Self {
        let number = self.recorder.next_id();
        let upstream = smol_str::format_smolstr!("{}-{number}", self.upstream);
        Self { upstream, ..self }
    }

    /// Notes that a run begins, and returns its number.
    pub(crate) fn run_started(&self, work: event::Work) -> event::RunId {
        let run = self.recorder.next_id();
        let upstream = self.upstream.clone();
        self.recorder.record(event::Event::RunStarted {
            run,
            upstream,
            work,
        });
        run
    }

    /// Notes that a run ends; to be called before the last byte of its answer is sent.
    pub(crate) fn run_ended(&self, run: event::RunId, answer: Option<digest::Digest>) {
        self.recorder.record(event::Event::RunEnded { run, answer });
    }

    /// Notes that memory is held for `program`.
    pub(crate) fn memory_held(&self, program: &id::ProgramId) {
        self.recorder.record(event::Event::MemoryHeld {
            upstream: self.upstream.clone(),
            program: program.clone(),
        });
    }

    /// Notes that no memory is held for `program` any more.
    pub(crate) fn memory_freed(&self, program: &id::ProgramId) {
        self.recorder.record(event::Event::MemoryFreed {
            upstream: self.upstream.clone(),
            program: program.clone(),
        });
    }
}

/// The work of a turn with this prompt.
pub(crate) fn turn(messages: &[chat::Message]) -> event::Work {
    event::Work::Turn(messages.iter().map(event::message_digest).collect())
}

/// Notes the end of a life when dropped: all that the upstream held is gone then.
#[derive(Debug)]
pub(crate) struct Life(pub Option<Notes>);

impl Drop for Life {
    fn drop(&mut self) {
        if let Some(notes) = &self.0 {
            let process = notes.upstream.clone();
            notes.recorder.record(event::Event::Crashed { process });
        }
    }
}
