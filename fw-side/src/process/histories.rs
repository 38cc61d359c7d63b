//! Cache of the histories of recently run programs, so that entries send only new messages.

use std::collections::BTreeMap;
use std::collections::HashMap;

use fw_base::chat;
use fw_base::digest;
use fw_base::id;
use parking_lot::Mutex;

/// Memory overhead of one message in addition to its text, in bytes: its digest, its pointer and
/// its share of the containers.
const MESSAGE_OVERHEAD: usize = 96;

/// The messages of a prompt, with the cumulative digest after each. Cloning does not copy text.
#[derive(Clone, Debug, Default)]
pub struct Prompt {
    messages: Vec<chat::Message>,
    digests: Vec<digest::Digest>,
}

impl Prompt {
    /// Appends a message.
    pub fn push(&mut self, message: chat::Message) {
        self.digests.push(self.digest().extend(&message));
        self.messages.push(message);
    }

    /// Digest of all messages.
    pub fn digest(&self) -> digest::Digest {
        self.digests
            .last()
            .copied()
            .unwrap_or(digest::Digest::EMPTY)
    }

    /// The messages in order.
    pub fn messages(&self) -> &[chat::Message] {
        &self.messages
    }

    /// Memory use in bytes.
    pub fn bytes(&self) -> usize {
        let texts = self.messages.iter().map(|message| message.as_str().len());
        texts.sum::<usize>() + self.messages.len() * MESSAGE_OVERHEAD
    }

    /// The prefix whose digest is `base`.
    fn up_to(&self, base: digest::Digest) -> Option<Self> {
        let last = self.digests.iter().rposition(|digest| *digest == base)?;
        Some(Self {
            messages: self.messages[..=last].to_vec(),
            digests: self.digests[..=last].to_vec(),
        })
    }
}

#[derive(Debug)]
struct Entry {
    prompt: Prompt,
    bytes: usize,
    used_at: u64,
}

#[derive(Debug, Default)]
struct Inner {
    programs: HashMap<id::ProgramId, Entry>,
    order: BTreeMap<u64, id::ProgramId>,
    bytes: usize,
    clock: u64,
}

/// LRU cache of histories with a memory limit.
#[derive(Debug)]
pub struct Histories {
    max_bytes: usize,
    inner: Mutex<Inner>,
}

impl Histories {
    /// Creates a cache of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            inner: Mutex::default(),
        }
    }

    /// Returns the history of `program` whose digest is `base`. It may be a prefix of the cached
    /// one, which is longer if its last turn was not committed.
    pub fn get(&self, program: &id::ProgramId, base: digest::Digest) -> Option<Prompt> {
        if base == digest::Digest::EMPTY {
            return Some(Prompt::default());
        }
        let mut inner = self.inner.lock();
        let found = inner.programs.get(program)?.prompt.up_to(base)?;
        inner.touch(program);
        Some(found)
    }

    /// Stores `prompt` for `program`, replacing the cached one.
    pub fn put(&self, program: &id::ProgramId, prompt: Prompt) {
        let mut inner = self.inner.lock();
        inner.remove(program);
        let bytes = prompt.bytes();
        if bytes > self.max_bytes {
            return;
        }
        while inner.bytes + bytes > self.max_bytes {
            let Some((_, oldest)) = inner.order.pop_first() else {
                break;
            };
            inner.remove(&oldest);
            metrics::counter!("fw_side_histories_evicted_total").increment(1);
        }
        inner.insert(program, prompt, bytes);
    }

    /// Removes the history of `program`.
    pub fn remove(&self, program: &id::ProgramId) {
        self.inner.lock().remove(program);
    }

    /// Total memory use in bytes.
    pub fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }
}

impl Inner {
    fn insert(&mut self, program: &id::ProgramId, prompt: Prompt, bytes: usize) {
        let used_at = self.tick();
        self.bytes += bytes;
        self.order.insert(used_at, program.clone());
        let entry = Entry {
            prompt,
            bytes,
            used_at,
        };
        self.programs.insert(program.clone(), entry);
    }

    fn remove(&mut self, program: &id::ProgramId) {
        if let Some(entry) = self.programs.remove(program) {
            self.order.remove(&entry.used_at);
            self.bytes -= entry.bytes;
        }
    }

    fn touch(&mut self, program: &id::ProgramId) {
        let used_at = self.tick();
        if let Some(entry) = self.programs.get_mut(program) {
            self.order.remove(&entry.used_at);
            entry.used_at = used_at;
            self.order.insert(used_at, program.clone());
        }
    }

    fn tick(&mut self) -> u64 {
        self.clock += 1;
        self.clock
    }
}
