//! Journal reader: reads a shard's journal back and reports damage.

use std::collections::BTreeMap;

use fw_base::id;

use crate::journal::Entry;
use crate::journal::keys;
use crate::journal::segment::Corrupt;
use crate::journal::segment::Head;
use crate::journal::segment::Segment;

/// One item of a replay.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// A complete snapshot, which replaces all earlier items.
    Snapshot(Vec<Entry>),
    /// A complete group.
    Group(Vec<Entry>),
    /// Damage: changes of any program may be missing at this point.
    Damage(Corrupt),
}

/// The content of a journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replayed {
    /// The items, in order.
    pub items: Vec<Item>,
    /// The head from which to continue.
    pub head: Head,
    /// The head's value in the store, valid or not.
    pub stored_head: Option<Vec<u8>>,
    /// Number of groups that a holder did not write completely before it lost the shard, so that
    /// they were never durable.
    pub unfinished: usize,
}

impl Replayed {
    /// Whether the journal is damaged.
    pub fn is_damaged(&self) -> bool {
        let is_damage = |item: &Item| matches!(item, Item::Damage(_));
        self.items.iter().any(is_damage)
    }
}

/// Reads the journal of `shard` from its head and the values of its segments' keys, in any order.
pub fn read(
    root: &str,
    shard: id::ShardId,
    stored_head: Option<Vec<u8>>,
    values: Vec<(String, Vec<u8>)>,
) -> Replayed {
    let mut reader = Reader::new(root, shard, values);
    let head = reader.read_head(stored_head.as_deref());
    reader.read_segments(&head);
    reader.finish_group(None);
    Replayed {
        items: reader.items,
        head,
        stored_head,
        unfinished: reader.unfinished,
    }
}

struct Reader<'a> {
    root: &'a str,
    shard: id::ShardId,
    values: BTreeMap<(u64, u64), Vec<u8>>,
    items: Vec<Item>,
    group: Vec<Segment>,
    fence: id::Fence,
    unfinished: usize,
}

impl<'a> Reader<'a> {
    fn new(root: &'a str, shard: id::ShardId, values: Vec<(String, Vec<u8>)>) -> Self {
        let mut items = Vec::new();
        let mut by_position = BTreeMap::new();
        for (key, value) in values {
            match keys::parse_segment(&key) {
                Some(position) => {
                    by_position.insert(position, value);
                }
                None => items.push(Item::Damage(Corrupt::Foreign {
                    key,
                    reason: "its name is not that of a segment".to_owned(),
                })),
            }
        }
        Self {
            root,
            shard,
            values: by_position,
            items,
            group: Vec::new(),
            fence: 0,
            unfinished: 0,
        }
    }

    fn read_head(&mut self, stored: Option<&[u8]>) -> Head {
        let key = keys::head(self.root, self.shard);
        let result = match stored {
            None if self.values.is_empty() => return self.empty_head(),
            None => Err(Corrupt::Missing { key }),
            Some(value) => Head::decode(&key, self.shard, value),
        };
        result.unwrap_or_else(|corrupt| {
            self.items.push(Item::Damage(corrupt));
            self.reconstruct_head()
        })
    }

    fn empty_head(&self) -> Head {
        Head {
            shard: self.shard,
            ..Head::default()
        }
    }

    /// Reconstructs a lost head from the segments. The lowest generation is the current one:
    /// earlier ones are deleted when it becomes current, and a higher one is an unfinished
    /// snapshot.
    fn reconstruct_head(&self) -> Head {
        let keys = self.values.keys();
        let generation = keys.clone().map(|(g, _)| *g).min().unwrap_or(1);
        let highest_generation = keys.clone().map(|(g, _)| *g).max().unwrap_or(1);
        let in_generation = keys.filter(|(g, _)| *g == generation);
        let next_seq = in_generation.map(|(_, seq)| seq + 1).max().unwrap_or(0);
        Head {
            generation,
            next_seq,
            highest_generation,
            damaged_before: Some(next_seq),
            ..self.empty_head()
        }
    }

    fn read_segments(&mut self, head: &Head) {
        for seq in 0..head.next_seq {
            if head.damaged_before == Some(seq) {
                self.report_lost_head();
            }
            let key = keys::segment(self.root, self.shard, head.generation, seq);
            match self.take_segment(&key, head.generation, seq) {
                Ok(segment) => self.accept_segment(&key, segment),
                Err(corrupt) => self.report_damage(corrupt),
            }
        }
        if head.damaged_before == Some(head.next_seq) {
            self.report_lost_head();
        }
        self.check_beyond_end(head);
    }

    /// Reports a head that was lost and replaced, as segments may have been lost with it.
    fn report_lost_head(&mut self) {
        let key = keys::head(self.root, self.shard);
        self.report_damage(Corrupt::Missing { key });
    }

    fn take_segment(&mut self, key: &str, generation: u64, seq: u64) -> Result<Segment, Corrupt> {
        let value = self.values.remove(&(generation, seq));
        let value = value.ok_or_else(|| Corrupt::Missing {
            key: key.to_owned(),
        })?;
        Segment::decode(key, self.shard, generation, seq, &value)
    }

    fn accept_segment(&mut self, key: &str, segment: Segment) {
        if segment.fence < self.fence {
            let (found, newest) = (segment.fence, self.fence);
            self.report_damage(Corrupt::Foreign {
                key: key.to_owned(),
                reason: format!("its fencing number {found} follows the newer {newest}"),
            });
            return;
        }
        if self
            .group
            .first()
            .is_some_and(|first| first.nonce != segment.nonce)
        {
            self.finish_group(Some(segment.fence));
        }
        self.fence = segment.fence;
        let expected = self.group.len();
        if segment.part as usize != expected {
            self.report_damage(Corrupt::Foreign {
                key: key.to_owned(),
                reason: format!("it is part {} instead of part {expected}", segment.part),
            });
            return;
        }
        let is_last = segment.part + 1 == segment.parts;
        self.group.push(segment);
        if is_last {
            self.finish_group(None);
        }
    }

    /// Decodes the group read so far. A group without its last part was never durable if its holder
    /// stopped there, that is, if no segment or one of a newer holder follows.
    fn finish_group(&mut self, next_fence: Option<id::Fence>) {
        let group = std::mem::take(&mut self.group);
        let Some(first) = group.first() else {
            return;
        };
        let key = keys::segment(self.root, self.shard, first.generation, first.seq);
        if group.len() < first.parts as usize {
            if next_fence.is_some_and(|fence| fence == first.fence) {
                let reason = format!(
                    "its group lacks {} parts",
                    first.parts as usize - group.len()
                );
                self.items
                    .push(Item::Damage(Corrupt::Foreign { key, reason }));
            } else {
                self.unfinished += 1;
            }
            return;
        }
        let bytes: Vec<u8> = group
            .iter()
            .flat_map(|s| s.payload.iter().copied())
            .collect();
        let item = match postcard::from_bytes::<Vec<Entry>>(&bytes) {
            Ok(entries) if first.snapshot => Item::Snapshot(entries),
            Ok(entries) => Item::Group(entries),
            Err(err) => Item::Damage(Corrupt::Format {
                key,
                reason: err.to_string(),
            }),
        };
        self.items.push(item);
    }

    fn report_damage(&mut self, corrupt: Corrupt) {
        self.group.clear();
        self.items.push(Item::Damage(corrupt));
    }

    /// Reports a segment of the current or an earlier generation that the head does not cover: no
    /// holder writes such segments.
    fn check_beyond_end(&mut self, head: &Head) {
        let extra = self.values.keys().find(|(g, _)| *g <= head.generation);
        let Some((generation, seq)) = extra.copied() else {
            return;
        };
        self.report_damage(Corrupt::Foreign {
            key: keys::segment(self.root, self.shard, generation, seq),
            reason: "it is beyond the end given by the journal's head".to_owned(),
        });
    }
}
