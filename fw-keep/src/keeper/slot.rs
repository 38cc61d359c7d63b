//! The place of one shard at this entry.

use std::time::Instant;

use tokio::sync::watch;

use crate::journal::writer::Writer;
use crate::keeper::Ticket;
use crate::shard;
use crate::shard::Shard;

/// A shard that is kept or not.
#[derive(Debug)]
pub(super) enum Slot {
    /// Not kept here.
    Absent,
    /// Kept here.
    Kept(Box<Kept>),
}

/// A shard kept here.
#[derive(Debug)]
pub(super) struct Kept {
    pub(super) shard: Shard,
    pub(super) writer: Writer,
    /// Tells this time of keeping the shard from any other.
    pub(super) incarnation: u64,
    /// Since when it is kept.
    pub(super) since: Instant,
    /// It is being handed over and serves no more.
    pub(super) is_leaving: bool,
    /// Another entry was seen to have taken it since; the store is to be asked.
    pub(super) is_superseded: bool,
    /// Number of doubts up to which the store was asked who keeps it; `None` if it is to be asked anyway.
    pub(super) confirmed_epoch: Option<u64>,
    /// Position up to which changes are in the store.
    pub(super) durable_position: watch::Sender<shard::Position>,
}

impl Kept {
    /// A shard whose keeper the store told after so many doubts.
    pub(super) fn new(shard: Shard, writer: Writer, confirmed_epoch: u64) -> Self {
        Self {
            shard,
            writer,
            incarnation: rand::random(),
            since: Instant::now(),
            is_leaving: false,
            is_superseded: false,
            confirmed_epoch: Some(confirmed_epoch),
            durable_position: watch::Sender::new(0),
        }
    }

    pub(super) fn ticket(&self) -> Ticket {
        Ticket {
            shard: self.shard.id(),
            incarnation: self.incarnation,
            position: self.shard.last_position(),
        }
    }

    /// Whether the store is to be asked who keeps it, after so many `doubts`.
    pub(super) fn is_in_doubt(&self, epoch: u64) -> bool {
        self.is_superseded || self.confirmed_epoch != Some(epoch)
    }

    /// Whether all changes are in the store.
    pub(super) fn is_flushed(&self) -> bool {
        self.shard.durable_position() >= self.shard.last_position()
    }

    pub(super) fn mark_durable(&mut self, position: shard::Position) {
        self.shard.durable(position);
        self.durable_position.send_replace(position);
    }
}

impl Slot {
    pub(super) fn kept(&mut self) -> Option<&mut Kept> {
        match self {
            Self::Kept(kept) => Some(kept),
            Self::Absent => None,
        }
    }

    /// The shard, if it may be used by requests.
    pub(super) fn serving(&mut self) -> Option<&mut Kept> {
        self.kept()
            .filter(|kept| !kept.is_leaving && !kept.is_superseded)
    }
}
