//! Stand-in for the platform's key-value store, with the HTTP/JSON API of the etcd v3 gateway.
//!
//! It stores all data in memory and counts the calls it receives. It listens on one or more
//! loopback ports, and faults are set per port, so that one client can be cut off while others are
//! served.

mod faults;
mod gateway;
pub mod mvcc;
mod watch_stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

pub use faults::Faults;
pub use faults::Outage;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Interval between two checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(10);

/// Configuration of the stand-in.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of ports.
    pub ports: usize,
    /// Interval between progress notifications on an idle watch.
    pub progress: Duration,
    /// Maximum size of a value, in bytes.
    pub max_value: usize,
    /// Maximum number of operations in one branch of a transaction.
    pub max_ops: usize,
    /// Seed for probabilistic faults.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            ports: 1,
            progress: Duration::from_millis(200),
            max_value: 1 << 20,
            max_ops: 128,
            seed: 1,
        }
    }
}

/// Number of calls received so far, including failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Range reads and read-only transactions.
    pub reads: u64,
    /// Transactions that contain a put or delete.
    pub writes: u64,
    /// Lease grants, renewals and revocations.
    pub leases: u64,
    /// Watch requests.
    pub watches: u64,
    /// Currently open watches.
    pub open_watches: u64,
}

/// Handle to a running stand-in, which stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Store {
    running: Arc<Running>,
}

#[derive(Debug)]
struct Running {
    core: Arc<Core>,
    addrs: Vec<SocketAddr>,
    /// Aborted on drop.
    _tasks: JoinSet<()>,
}

/// State shared by all ports.
#[derive(Debug)]
struct Core {
    opts: Options,
    state: Mutex<mvcc::Mvcc>,
    ports: Vec<Mutex<faults::Port>>,
    /// Current revision; watches wait for it to change.
    revision: watch::Sender<i64>,
    counters: Counters,
}

#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
    leases: AtomicU64,
    watches: AtomicU64,
    open_watches: AtomicU64,
}

impl Store {
    /// Starts on free loopback ports.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(opts: Options) -> std::io::Result<Self> {
        let ports = opts.ports.max(1);
        let core = Arc::new(Core::new(Options { ports, ..opts }));
        let mut tasks = JoinSet::new();
        let mut addrs = Vec::with_capacity(ports);
        for port in 0..ports {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            let app = gateway::router(Arc::clone(&core), port);
            tasks.spawn(async move {
                // `serve` returns only when the task is aborted.
                let _ = axum::serve(listener, app).await;
            });
        }
        tasks.spawn(expire(Arc::clone(&core)));
        let running = Running {
            core,
            addrs,
            _tasks: tasks,
        };
        Ok(Self {
            running: Arc::new(running),
        })
    }

    /// Addresses of all ports, as `ip:port`.
    pub fn endpoints(&self) -> Vec<String> {
        self.running.addrs.iter().map(ToString::to_string).collect()
    }

    /// Address of one port, as `ip:port`; ports are counted from 0.
    pub fn endpoint(&self, port: usize) -> String {
        self.running.addrs[port].to_string()
    }

    /// Updates the faults of one port.
    pub fn faults(&self, port: usize, change: impl FnOnce(&mut Faults)) {
        change(&mut self.core().ports[port].lock().faults);
        self.core().wake();
    }

    /// Updates the faults of all ports.
    pub fn faults_everywhere(&self, change: impl Fn(&mut Faults)) {
        for port in 0..self.core().ports.len() {
            self.faults(port, &change);
        }
    }

    /// Starts or ends an outage on all ports.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.faults_everywhere(|faults| faults.outage = outage);
    }

    /// Permanently stalls the watches that are open on a port now; later ones work.
    pub fn stall_watches(&self, port: usize) {
        self.core().ports[port].lock().epoch += 1;
    }

    /// Snapshot of the call counters.
    pub fn counts(&self) -> Counts {
        let counters = &self.core().counters;
        let of = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Counts {
            reads: of(&counters.reads),
            writes: of(&counters.writes),
            leases: of(&counters.leases),
            watches: of(&counters.watches),
            open_watches: of(&counters.open_watches),
        }
    }

    /// Current revision.
    pub fn revision(&self) -> i64 {
        self.core().state.lock().revision()
    }

    /// Reads a key, bypassing faults and counters.
    pub fn get(&self, key: &str) -> Option<mvcc::Kv> {
        let span = mvcc::Span {
            key: key.into(),
            end: Vec::new(),
        };
        self.read(span).pop()
    }

    /// Reads all keys, bypassing faults and counters.
    pub fn all(&self) -> Vec<mvcc::Kv> {
        self.read(mvcc::Span {
            key: vec![0],
            end: vec![0],
        })
    }

    /// Writes a key, bypassing faults and counters. Returns the new revision.
    pub fn put(&self, key: &str, value: impl Into<Vec<u8>>) -> i64 {
        self.write(mvcc::Op::Put {
            key: key.into(),
            value: value.into(),
            lease: 0,
        })
    }

    /// Deletes a key, bypassing faults and counters. Returns the new revision.
    pub fn delete(&self, key: &str) -> i64 {
        self.write(mvcc::Op::Delete(mvcc::Span {
            key: key.into(),
            end: Vec::new(),
        }))
    }

    /// Compacts the change log up to and including `revision`.
    pub fn compact(&self, revision: i64) {
        self.core().state.lock().compact(revision);
    }

    /// Ends a lease, as if it had expired.
    pub fn expire_lease(&self, lease: i64) {
        self.core().state.lock().revoke(lease);
        self.core().wake();
    }

    fn core(&self) -> &Core {
        &self.running.core
    }

    fn read(&self, span: mvcc::Span) -> Vec<mvcc::Kv> {
        let read = mvcc::Read {
            span,
            ..mvcc::Read::default()
        };
        match self.core().state.lock().read(&read) {
            Ok(mvcc::Reply::Range { kvs, .. }) => kvs,
            _ => Vec::new(),
        }
    }

    fn write(&self, op: mvcc::Op) -> i64 {
        let outcome = self.core().state.lock().txn(&[], vec![op], Vec::new());
        self.core().wake();
        outcome
            .expect("a write without a lease is never refused")
            .revision
    }
}

impl Core {
    fn new(opts: Options) -> Self {
        let seeds = (0..opts.ports).map(|port| opts.seed.wrapping_add(port as u64));
        let ports = seeds.map(|seed| Mutex::new(faults::Port::new(seed)));
        let (revision, _) = watch::channel(0);
        Self {
            ports: ports.collect(),
            state: Mutex::default(),
            counters: Counters::default(),
            revision,
            opts,
        }
    }

    /// Notifies watches, so that they check for changes and faults.
    fn wake(&self) {
        let revision = self.state.lock().revision();
        self.revision.send_replace(revision);
    }
}

/// Revokes leases as they expire.
async fn expire(core: Arc<Core>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let changed = {
            let mut state = core.state.lock();
            let before = state.revision();
            state.expire(Instant::now());
            state.revision() != before
        };
        if changed {
            core.wake();
        }
    }
}
