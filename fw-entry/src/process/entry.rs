//! State of a running entry, shared by its requests, connections and turns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_conf::entry as conf;
use fw_keep::keeper;
use fw_keep::program;
use fw_plan::quarantine;
use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission;
use super::attempts;
use super::explain;
use super::held;
use super::peers;
use super::suspects;
use crate::connection::pool;
use crate::connection::recover;
use crate::connection::recover_entries;
use crate::connection::sides;
use crate::version::records;

/// Shared state of one entry.
pub struct Entry {
    /// Id of this process, unique among all entries.
    pub id: id::EntryId,
    /// The settings.
    pub settings: conf::Settings,
    /// Address under which other entries reach this one.
    pub advertise: SocketAddr,
    /// The operators' records in force.
    pub records: records::InForce,
    /// The platform's store.
    pub store: fw_store::Client,
    /// Shards, programs and claims kept here.
    pub keeper: keeper::Keeper,
    /// Turns whose answers were delivered before the store had them.
    pub held: held::HeldTurns,
    /// Queries to other entries about shards taken here.
    pub predecessors: recover_entries::Predecessors,
    /// Events of the attempts that run here.
    pub attempts: attempts::Table,
    /// Admission of turns and plain requests.
    pub admission: admission::Admission,
    /// Requests that have crashed upstreams.
    pub suspects: suspects::Suspects,
    /// Sides and the state of their upstreams.
    pub sides: sides::Sides,
    /// Statuses received from other entries.
    pub peer_list: peers::Peers,
    /// Connections to other entries.
    pub peers: pool::Pool<peer::PeerClient>,
    /// HTTP client for plain requests to sides.
    pub http: fw_http::Client,
    /// Log of decisions, for operators.
    pub explain: Arc<explain::Log>,
    /// Renders the metrics, if a recorder is installed.
    pub metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    /// Turns under way.
    pub tasks: TaskTracker,
    /// Requests of callers under way.
    pub requests: TaskTracker,
    /// Cancelled when the shutdown is announced: the load balancer should send no further calls.
    pub leaving: CancellationToken,
    /// Cancelled when the entry is killed: all tasks end at once.
    pub killed: CancellationToken,
    /// Cancelled when the entry stops: no further calls are accepted.
    pub stopping: CancellationToken,
    /// Start of the clock that the decision modules use.
    pub start: Instant,
}

/// Marks a request as under way: a graceful shutdown waits until it is dropped.
#[derive(Debug)]
pub struct Guard {
    _token: tokio_util::task::task_tracker::TaskTrackerToken,
}

impl Entry {
    /// Registers a request as under way.
    ///
    /// # Errors
    ///
    /// `ShuttingDown` when the entry accepts no further calls.
    pub fn enter(&self) -> Result<Guard, error::Error> {
        let token = self.requests.token();
        if self.stopping.is_cancelled() {
            let message = "this entry is shutting down; send the call to another entry";
            let err = error::Error::new(error::Kind::ShuttingDown, message);
            return Err(err.with_retry_after(Duration::ZERO));
        }
        Ok(Guard { _token: token })
    }

    /// Registers work as under way even during a shutdown, for calls accepted before it.
    pub fn enter_always(&self) -> Guard {
        Guard {
            _token: self.requests.token(),
        }
    }

    /// Time since the process started: the clock of the decision modules.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// How long to look for the keeper of a shard: the lease of a dead keeper plus the take-over.
    pub fn keeper_timeout(&self) -> Duration {
        self.settings.keeper.lease_ttl * 2
    }

    /// Whether the store answers other entries but has not answered this one for `silence`.
    ///
    /// In an outage that affects all entries, none can take this entry's shards, and its programs
    /// continue. If only this entry is cut off, it may have lost its shards without noticing: an answer
    /// that it delivered then would be missing in the history of the shard's new keeper.
    pub fn is_cut_off(&self, silence: Duration) -> bool {
        let ttl = self.settings.keeper.lease_ttl;
        self.keeper.time_since_contact() > silence && self.peer_list.any_reaches_store(ttl / 2)
    }

    /// The fencing number of `shard`, if turns of it may be served: the shard is kept here, its recovery
    /// is complete, and the operators' records are loaded.
    pub fn serving_fence(&self, shard: id::ShardId) -> Option<id::Fence> {
        if !self.records.is_loaded() {
            return None;
        }
        if self.keeper.is_in_doubt(shard) {
            self.keeper.prioritize(shard);
            return None;
        }
        if self.is_cut_off(self.settings.keeper.lease_ttl) {
            return None;
        }
        let fence = self.keeper.fence(shard)?;
        recover::is_complete(self, shard).then_some(fence)
    }

    /// Whether a refusal that is based on the state of `shard` here may be returned to a caller.
    ///
    /// A keeper whose lease may have lapsed unnoticed holds an outdated state of programs that may have
    /// continued elsewhere. It would refuse a turn as out of order, or a program as unknown, with an
    /// error that callers do not retry. Errors that the caller may retry do no harm.
    pub fn may_refuse(&self, shard: id::ShardId, err: &error::Error) -> bool {
        err.kind.row().retry || self.keeper.is_sole_keeper_of(shard)
    }

    /// Whether the KV cache of `program` may be freed: this entry keeps it, and it has ended or does not
    /// exist.
    pub fn may_release(&self, program: &id::ProgramId) -> bool {
        let shard = self.keeper.shard_of(program);
        let released = self.keeper.with_shard(shard, |shard| {
            let kept = shard.program(program);
            kept.is_none_or(|kept| kept.status() == program::Status::Ended)
        });
        released.is_ok_and(|changed| changed.value)
    }

    /// Requests the release of the program's KV cache at all sides that have sessions of its shard or
    /// whose engine was observed to hold its prefix. A side that does not receive the request asks about
    /// the program later.
    pub async fn release(&self, program: &id::ProgramId) {
        let shard = self.keeper.shard_of(program);
        let Some(fence) = self.keeper.fence(shard) else {
            return;
        };
        for side in self.sides.all() {
            let service = self.sides.service(&side.instance.service);
            let held = service
                .lock()
                .view
                .cached_tokens(program, &side.instance.id)
                > 0;
            if !held && !side.update(|state| state.shards.contains(&shard)) {
                continue;
            }
            let req = side::Release {
                programs: vec![(program.clone(), fence)],
            };
            let cx = transport::context(self.settings.upstream.connect_timeout);
            let call = |client: side::SideClient| async move { client.release(cx, req).await };
            let _asked_later = self.sides.pool.call(side.instance.side, call).await;
        }
    }

    /// Status of this entry, for other entries and operators.
    pub fn status(&self) -> peer::PeerStatus {
        let sides = self.sides.all();
        let revisions = sides.iter().map(|side| side.update(|state| state.revision));
        peer::PeerStatus {
            entry: self.id.clone(),
            place: self.settings.instance.place.clone(),
            revision: self.records.revision(),
            sides_revision: revisions.min().unwrap_or_else(|| self.records.revision()),
            sides: u32::try_from(sides.len()).unwrap_or(u32::MAX),
            shards: u32::try_from(self.keeper.shards().len()).unwrap_or(u32::MAX),
            programs: u32::try_from(self.attempts.running_count()).unwrap_or(u32::MAX),
            store_silent: self.keeper.time_since_contact(),
            leaving: self.stopping.is_cancelled(),
            suspects: Some(self.suspects.digest(self.now())),
        }
    }
}

/// RPC service for other entries.
#[derive(Clone)]
pub struct PeerService(pub Arc<Entry>);

impl peer::Peer for PeerService {
    async fn submit(self, _cx: tarpc::context::Context, req: peer::Submit) -> peer::SubmitReply {
        self.0.records.observe_revision(req.revision);
        crate::turn::submit::accept(&self.0, req)
    }

    async fn read(
        self,
        _cx: tarpc::context::Context,
        req: fw_wire::attempt::Read,
    ) -> fw_wire::attempt::ReadReply {
        self.0.attempts.read(req).await
    }

    async fn detach(self, _cx: tarpc::context::Context, attempt: id::AttemptId) {
        self.0.attempts.detach(attempt);
    }

    async fn program(self, _cx: tarpc::context::Context, req: peer::Query) -> peer::QueryReply {
        crate::turn::program::query_local(&self.0, &req)
    }

    async fn end(self, _cx: tarpc::context::Context, req: peer::Query) -> peer::QueryReply {
        crate::turn::program::end_local(&self.0, &req).await
    }

    async fn claim(self, _cx: tarpc::context::Context, req: peer::Claim) -> peer::ClaimReply {
        crate::turn::claim::apply_step(&self.0, &req).await
    }

    async fn recover(self, _cx: tarpc::context::Context, held: side::Held) -> bool {
        recover::accept(&self.0, held).await
    }

    /// Reports delivered turns to the new keeper of `req.shards`, which this entry keeps no longer. It
    /// stops delivering answers of these shards before it lists the delivered ones: an answer delivered
    /// in between would be reported to no keeper.
    async fn held(self, _cx: tarpc::context::Context, req: peer::HeldQuery) -> side::HeldReply {
        for (shard, fence) in &req.shards {
            self.0.keeper.supersede(*shard, *fence);
        }
        let shards = req.shards.iter().map(|(shard, _)| *shard).collect();
        self.0.held.reply(&shards, req.after)
    }

    async fn status(
        self,
        _cx: tarpc::context::Context,
        from: peer::PeerStatus,
    ) -> peer::PeerStatus {
        self.0.peer_list.update(&self.0, from);
        self.0.status()
    }

    async fn report_suspect(self, _cx: tarpc::context::Context, suspect: quarantine::Suspect) {
        self.0.suspects.merge(self.0.now(), &suspect);
    }

    async fn exchange_suspects(
        self,
        _cx: tarpc::context::Context,
        known: Vec<quarantine::Suspect>,
    ) -> Vec<quarantine::Suspect> {
        let now = self.0.now();
        for suspect in &known {
            self.0.suspects.merge(now, suspect);
        }
        self.0.suspects.all(now)
    }

    async fn records(
        self,
        _cx: tarpc::context::Context,
        than: id::Revision,
    ) -> Option<side::Records> {
        let set = self.0.records.current();
        (set.revision() > than).then(|| side::Records {
            revision: set.revision(),
            set: set.to_json().into(),
        })
    }
}
