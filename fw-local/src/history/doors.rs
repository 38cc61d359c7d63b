//! The entries that callers and operators can reach, as a balancer would have them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;

use fw_check::event;
use fw_entry::process::entry;
use fw_entry::process::serve;
use parking_lot::Mutex;

/// One entry that runs.
#[derive(Clone)]
pub struct Door {
    /// Its name in the record.
    pub process: event::ProcessId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// The entry itself, to see which records are in force there.
    pub entry: Weak<entry::Entry>,
}

/// The entries that run. Callers are not sent to one that stops.
#[derive(Default)]
pub struct Doors {
    open: Mutex<Vec<Door>>,
}

/// The name that the entry of this index has in the record.
pub fn name(entry: usize) -> event::ProcessId {
    smol_str::format_smolstr!("entry-{entry}")
}

impl Door {
    /// The entry of index `entry`.
    pub fn new(entry: usize, running: &serve::Running) -> Self {
        let addresses = running.addresses();
        Self {
            process: name(entry),
            callers: addresses.callers,
            admin: addresses.admin,
            entry: Arc::downgrade(running.entry()),
        }
    }
}

impl Doors {
    /// Adds an entry.
    pub fn open(&self, door: Door) {
        self.open.lock().push(door);
    }

    /// Takes an entry off.
    pub fn close(&self, entry: usize) {
        let process = name(entry);
        self.open.lock().retain(|door| door.process != process);
    }

    /// All entries.
    pub fn all(&self) -> Vec<Door> {
        self.open.lock().clone()
    }

    /// One of the entries: the `n`-th, round and round.
    pub fn pick(&self, n: usize) -> Option<Door> {
        let open = self.open.lock();
        let place = n.checked_rem(open.len())?;
        open.get(place).cloned()
    }
}
