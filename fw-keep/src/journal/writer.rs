//! Journal writer: encodes groups of entries into segments and assigns their keys.

use std::collections::VecDeque;

use fw_base::id;
use smol_str::SmolStr;

use crate::journal::Entry;
use crate::journal::keys;
use crate::journal::segment::Head;
use crate::journal::segment::Nonce;
use crate::journal::segment::Segment;

/// Limits of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum payload bytes of one segment. The store holds values of up to one megabyte; the rest
    /// is for the segment's other fields.
    pub max_payload: usize,
    /// Number of a generation's segments above which a new snapshot is due.
    pub max_segments: u64,
    /// A new snapshot is due once the segments after the last one hold more than this many times
    /// its bytes, so that the bytes rewritten stay in proportion to the bytes written.
    pub growth: u64,
    /// Bytes of segments after the last snapshot up to which their size alone makes none due.
    pub min_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_payload: 900_000,
            max_segments: 256,
            growth: 2,
            min_bytes: 1 << 20,
        }
    }
}

/// One segment to write, and the journal's head after that write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Key of the segment.
    pub key: String,
    /// Value of the segment.
    pub value: Vec<u8>,
    /// Value of the head after this part is written.
    pub head: Vec<u8>,
    /// Key prefixes of the generations that this part supersedes.
    pub delete: Vec<String>,
}

/// A group of one shard that is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The shard.
    pub shard: id::ShardId,
    /// Fencing number under which it is written.
    pub fence: id::Fence,
    /// Key of the shard's keeper.
    pub owner_key: String,
    /// Key of the head.
    pub head_key: String,
    /// Expected value of the head before the next part; `None` for a journal without a head.
    pub expected_head: Option<Vec<u8>>,
    /// The parts still to be written; not empty in a new job.
    pub parts: VecDeque<Part>,
}

/// Plans the writes of one shard's journal.
#[derive(Clone, Debug)]
pub struct Writer {
    root: SmolStr,
    shard: id::ShardId,
    fence: id::Fence,
    head: Head,
    /// Value of the head in the store after all jobs so far.
    stored: Option<Vec<u8>>,
    opts: Options,
}

impl Writer {
    /// A writer that continues after `head`, whose value in the store is `stored`.
    pub fn new(
        root: &str,
        shard: id::ShardId,
        fence: id::Fence,
        head: Head,
        stored: Option<Vec<u8>>,
        opts: Options,
    ) -> Self {
        Self {
            root: root.into(),
            shard,
            fence,
            head,
            stored,
            opts,
        }
    }

    /// The fencing number.
    pub fn fence(&self) -> id::Fence {
        self.fence
    }

    /// Continues under another fencing number, after the shard was acquired again.
    pub fn set_fence(&mut self, fence: id::Fence) {
        self.fence = fence;
    }

    /// Value of the head in the store after all jobs so far.
    pub fn stored_head(&self) -> Option<&[u8]> {
        self.stored.as_deref()
    }

    /// Whether the next group should be a snapshot.
    pub fn is_snapshot_due(&self) -> bool {
        let head = &self.head;
        if head.damaged_before.is_some() {
            return false;
        }
        let bytes_since = head.bytes.saturating_sub(head.snapshot_bytes);
        let is_large = bytes_since
            > self
                .opts
                .min_bytes
                .max(head.snapshot_bytes * self.opts.growth);
        is_large || head.next_seq > self.opts.max_segments
    }

    /// Plans the write of a group after those planned before.
    pub fn append(&mut self, entries: &[Entry], nonce: Nonce) -> Job {
        self.head.generation = self.head.generation.max(1);
        self.head.highest_generation = self.head.highest_generation.max(1);
        let generation = self.head.generation;
        let first_seq = self.head.next_seq;
        let segments = self.split(entries, nonce, generation, first_seq, false);
        let mut parts = VecDeque::new();
        for segment in segments {
            let value = segment.encode();
            self.head.next_seq = segment.seq + 1;
            self.head.bytes += value.len() as u64;
            parts.push_back(self.plan_part(&segment, value, Vec::new()));
        }
        self.plan_job(parts)
    }

    /// Plans the write of a snapshot: a new generation, which replaces the current one in the same
    /// transaction that writes its last part.
    pub fn snapshot(&mut self, entries: &[Entry], nonce: Nonce) -> Job {
        let old_generation = self.head.generation;
        let generation = self.head.highest_generation + 1;
        self.head.highest_generation = generation;
        let segments = self.split(entries, nonce, generation, 0, true);
        let count = segments.len() as u64;
        let mut bytes = 0;
        let mut parts = VecDeque::new();
        for segment in segments {
            let value = segment.encode();
            bytes += value.len() as u64;
            let is_last = segment.seq + 1 == count;
            let mut delete = Vec::new();
            if is_last {
                self.head.generation = generation;
                self.head.next_seq = count;
                self.head.bytes = bytes;
                self.head.snapshot_bytes = bytes;
                let superseded = old_generation.max(1)..generation;
                delete = superseded.map(|g| self.generation_prefix(g)).collect();
            }
            parts.push_back(self.plan_part(&segment, value, delete));
        }
        self.plan_job(parts)
    }

    fn split(
        &self,
        entries: &[Entry],
        nonce: Nonce,
        generation: u64,
        first_seq: u64,
        snapshot: bool,
    ) -> Vec<Segment> {
        let encoded = postcard::to_stdvec(entries).expect("plain data encodes into memory");
        let chunks: Vec<&[u8]> = encoded.chunks(self.opts.max_payload).collect();
        let parts = u32::try_from(chunks.len()).expect("a group has fewer than 2^32 parts");
        let numbered = (0u32..).zip(chunks);
        let segments = numbered.map(|(part, chunk)| Segment {
            shard: self.shard,
            generation,
            seq: first_seq + u64::from(part),
            fence: self.fence,
            nonce,
            part,
            parts,
            snapshot,
            payload: chunk.to_vec(),
        });
        segments.collect()
    }

    fn plan_part(&mut self, segment: &Segment, value: Vec<u8>, delete: Vec<String>) -> Part {
        self.head.shard = self.shard;
        self.head.nonce = segment.nonce;
        self.head.part = segment.part;
        Part {
            key: keys::segment(&self.root, self.shard, segment.generation, segment.seq),
            value,
            head: self.head.encode(),
            delete,
        }
    }

    fn plan_job(&mut self, parts: VecDeque<Part>) -> Job {
        let last = parts.back().map(|part| part.head.clone());
        let expected_head = std::mem::replace(&mut self.stored, last);
        Job {
            shard: self.shard,
            fence: self.fence,
            owner_key: keys::owner(&self.root, self.shard),
            head_key: keys::head(&self.root, self.shard),
            expected_head,
            parts,
        }
    }

    fn generation_prefix(&self, generation: u64) -> String {
        keys::generation(&self.root, self.shard, generation)
    }
}
