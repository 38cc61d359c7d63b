//! Records the events of a stand-in upstream (runs, cache contents, crashes) for `fw_check`.

use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use fw_check::event;
use fw_check::recorder;

/// Destination of recorded events, and the name of the upstream in them.
#[derive(Clone, Debug)]
pub struct Recording {
    /// Recorder that receives the events.
    pub recorder: recorder::Recorder,
    /// Name of the upstream. Each started upstream appends a unique number to it.
    pub upstream: id::UpstreamId,
}

impl Recording {
    /// Appends a number to the name that makes it unique within the recording.
    pub(crate) fn with_unique_name(self) -> Self {
        let number = self.recorder.next_id();
        let upstream = smol_str::format_smolstr!("{}-{number}", self.upstream);
        Self { upstream, ..self }
    }

    /// Records the start of a run and returns its id.
    pub(crate) fn record_run_start(&self, work: event::Work) -> event::RunId {
        let run = self.recorder.next_id();
        let upstream = self.upstream.clone();
        self.recorder.record(event::Event::RunStarted {
            run,
            upstream,
            work,
        });
        run
    }

    /// Records the end of a run. Must be called before the last byte of the answer is sent.
    pub(crate) fn record_run_end(&self, run: event::RunId, answer: Option<digest::Digest>) {
        self.recorder.record(event::Event::RunEnded { run, answer });
    }

    /// Records that the cache holds an entry for `program`.
    pub(crate) fn record_memory_held(&self, program: &id::ProgramId) {
        self.recorder.record(event::Event::MemoryHeld {
            upstream: self.upstream.clone(),
            program: program.clone(),
        });
    }

    /// Records that the cache no longer holds an entry for `program`.
    pub(crate) fn record_memory_freed(&self, program: &id::ProgramId) {
        self.recorder.record(event::Event::MemoryFreed {
            upstream: self.upstream.clone(),
            program: program.clone(),
        });
    }
}

/// Describes a turn with this prompt.
pub(crate) fn turn_work(messages: &[chat::Message]) -> event::Work {
    event::Work::Turn(messages.iter().map(event::message_digest).collect())
}

/// Records a crash when dropped: everything that the upstream held in memory is lost.
#[derive(Debug)]
pub(crate) struct CrashGuard(pub Option<Recording>);

impl Drop for CrashGuard {
    fn drop(&mut self) {
        if let Some(recording) = &self.0 {
            let process = recording.upstream.clone();
            recording.recorder.record(event::Event::Crashed { process });
        }
    }
}
