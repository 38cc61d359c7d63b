//! State of one shard at this entry.

use std::time::Instant;

use tokio::sync::watch;

use crate::journal::writer::Writer;
use crate::keeper::Ticket;
use crate::shard;
use crate::shard::Shard;

/// One shard's slot.
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
    /// Random number that distinguishes this period of keeping the shard from any other.
    pub(super) incarnation: u64,
    /// The time since which it is kept.
    pub(super) since: Instant,
    /// Whether it is being handed over and no longer serves.
    pub(super) is_leaving: bool,
    /// Whether another entry was seen to have taken it since, so that its ownership has to be verified.
    pub(super) is_superseded: bool,
    /// Ownership epoch in which the store last confirmed its ownership; `None` if it has to be verified in
    /// any case.
    pub(super) confirmed_epoch: Option<u64>,
    /// Position up to which changes are durable in the store.
    pub(super) durable_position: watch::Sender<shard::Position>,
}

impl Kept {
    /// Creates a kept shard whose ownership was confirmed in `confirmed_epoch`.
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

    /// The ticket of its last change.
    pub(super) fn ticket(&self) -> Ticket {
        Ticket {
            shard: self.shard.id(),
            incarnation: self.incarnation,
            position: self.shard.last_position(),
        }
    }

    /// Whether its ownership has to be verified in ownership epoch `epoch`.
    pub(super) fn is_in_doubt(&self, epoch: u64) -> bool {
        self.is_superseded || self.confirmed_epoch != Some(epoch)
    }

    /// Whether all changes are durable.
    pub(super) fn is_flushed(&self) -> bool {
        self.shard.durable_position() >= self.shard.last_position()
    }

    /// Records that changes up to `position` are durable.
    pub(super) fn mark_durable(&mut self, position: shard::Position) {
        self.shard.mark_durable(position);
        self.durable_position.send_replace(position);
    }
}

impl Slot {
    /// The shard, if it is kept here.
    pub(super) fn kept(&mut self) -> Option<&mut Kept> {
        match self {
            Self::Kept(kept) => Some(kept),
            Self::Absent => None,
        }
    }

    /// The shard, if it may serve requests.
    pub(super) fn serving(&mut self) -> Option<&mut Kept> {
        self.kept()
            .filter(|kept| !kept.is_leaving && !kept.is_superseded)
    }
}
