//! The entries that callers and operators can reach, as a load balancer would list them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;
use std::time::Instant;

use fw_check::event;
use fw_entry::process::entry;
use fw_entry::process::explain;
use fw_entry::process::serve;
use parking_lot::Mutex;

/// A running entry.
#[derive(Clone)]
pub struct Endpoint {
    /// Its name in the record.
    pub process: event::ProcessId,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// The entry itself, to read the records in force there.
    pub entry: Weak<entry::Entry>,
    /// When the entry started.
    pub started: Instant,
    /// Log of its decisions; outlives the entry.
    pub decisions: Arc<explain::Log>,
}

/// A decision of an entry.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Time since the start of the run.
    pub at: Duration,
    /// The entry's name in the record.
    pub process: event::ProcessId,
    /// The decision and its reason.
    pub event: explain::Event,
}

/// The running entries. Calls are not sent to an entry that is stopping.
#[derive(Default)]
pub struct Endpoints {
    open: Mutex<Vec<Endpoint>>,
    /// All entries that were ever open.
    known: Mutex<Vec<Endpoint>>,
}

/// Name in the record of the entry with this index.
pub fn name(entry: usize) -> event::ProcessId {
    smol_str::format_smolstr!("entry-{entry}")
}

impl Endpoint {
    /// Endpoint of the entry with index `entry`.
    pub fn new(entry: usize, running: &serve::Running) -> Self {
        let addresses = running.addresses();
        Self {
            process: name(entry),
            callers: addresses.callers,
            admin: addresses.admin,
            entry: Arc::downgrade(running.entry()),
            started: running.entry().start,
            decisions: Arc::clone(&running.entry().explain),
        }
    }
}

impl Endpoints {
    /// Adds an entry.
    pub fn open(&self, endpoint: Endpoint) {
        self.known.lock().push(endpoint.clone());
        self.open.lock().push(endpoint);
    }

    /// Decisions about `program` of all entries that were ever open, ordered by time since `begun`.
    pub fn decisions(&self, program: &str, begun: Instant) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for endpoint in self.known.lock().iter() {
            let started = endpoint.started.saturating_duration_since(begun);
            let events = endpoint.decisions.events(program).into_iter();
            decisions.extend(events.map(|event| Decision {
                at: started + Duration::from_millis(event.at_ms),
                process: endpoint.process.clone(),
                event,
            }));
        }
        decisions.sort_by_key(|decision| decision.at);
        decisions
    }

    /// Removes an entry.
    pub fn close(&self, entry: usize) {
        let process = name(entry);
        self.open
            .lock()
            .retain(|endpoint| endpoint.process != process);
    }

    /// All open entries.
    pub fn all(&self) -> Vec<Endpoint> {
        self.open.lock().clone()
    }

    /// The `n`-th open entry, modulo their number.
    pub fn pick(&self, n: usize) -> Option<Endpoint> {
        let open = self.open.lock();
        let place = n.checked_rem(open.len())?;
        open.get(place).cloned()
    }
}
