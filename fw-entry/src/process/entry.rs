//! One running entry: everything that its requests, connections and turns share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fw_base::error;
use fw_base::id;
use fw_conf::entry as conf;
use fw_keep::keeper;
use fw_keep::program;
use fw_plan::poison;
use fw_wire::peer;
use fw_wire::side;
use fw_wire::transport;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admission;
use super::attempts;
use super::explain;
use super::held;
use super::peers;
use crate::connection::pool;
use crate::connection::recover;
use crate::connection::recover_entries;
use crate::connection::sides;
use crate::version::records;

/// What the requests of one entry share.
pub struct Entry {
    /// Name of this process among all entries.
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
    /// Turns whose answers were given out without the store.
    pub held: held::HeldTurns,
    /// What was heard of other entries about shards taken here.
    pub predecessors: recover_entries::Predecessors,
    /// Events of the attempts kept here.
    pub attempts: attempts::Table,
    /// Admission of turns and plain requests.
    pub admission: admission::Admission,
    /// Requests that crash upstreams.
    pub poison: Mutex<poison::Tracker>,
    /// Sides and what is known of their upstreams.
    pub sides: sides::Sides,
    /// What other entries say of themselves.
    pub peer_list: peers::Peers,
    /// Connections to other entries.
    pub peers: pool::Pool<peer::PeerClient>,
    /// Plain requests to sides.
    pub http: fw_http::Client,
    /// Decisions, for operators.
    pub explain: Arc<explain::Log>,
    /// Renders the metrics, if a recorder is installed.
    pub metrics: Option<metrics_exporter_prometheus::PrometheusHandle>,
    /// Turns under way.
    pub tasks: TaskTracker,
    /// Requests of callers under way.
    pub requests: TaskTracker,
    /// Cancelled when the entry is about to stop: the balancer should send nothing more.
    pub leaving: CancellationToken,
    /// Cancelled when the entry is killed: whatever it does ends at once.
    pub killed: CancellationToken,
    /// Cancelled when the entry stops: nothing new is taken.
    pub stopping: CancellationToken,
    /// Start of the clock that the decision modules see.
    pub start: Instant,
}

/// A request under way: a graceful stop waits until it is dropped.
#[derive(Debug)]
pub struct Guard {
    _token: tokio_util::task::task_tracker::TaskTrackerToken,
}

impl Entry {
    /// Notes a request as under way.
    ///
    /// # Errors
    ///
    /// `ShuttingDown` when the entry takes nothing new.
    pub fn enter(&self) -> Result<Guard, error::Error> {
        let token = self.requests.token();
        if self.stopping.is_cancelled() {
            let message = "this entry is shutting down; send the call again, to another";
            let err = error::Error::new(error::Kind::ShuttingDown, message);
            return Err(err.with_retry_after(Duration::ZERO));
        }
        Ok(Guard { _token: token })
    }

    /// Notes work as under way that goes on although the entry takes nothing new.
    pub fn enter_always(&self) -> Guard {
        Guard {
            _token: self.requests.token(),
        }
    }

    /// Time since the process started: the clock of the decision modules.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// How long to look for the keeper of a shard: a dead one's lease, and the take-over.
    pub fn keeper_timeout(&self) -> Duration {
        self.settings.keeper.lease_ttl * 2
    }

    /// Whether the store answers other entries but has not answered this one for `silence`.
    ///
    /// In an outage for all nobody can take this entry's shards, and its programs go on. Cut off
    /// alone, it may have lost them without knowing: an answer that it gave out then would be
    /// missing in the history of the shard's new keeper.
    pub fn is_cut_off(&self, silence: Duration) -> bool {
        let ttl = self.settings.keeper.lease_ttl;
        self.keeper.time_since_contact() > silence && self.peer_list.any_reaches_store(ttl / 2)
    }

    /// The fencing number of `shard`, if it is kept here, all that is held of it is known, and so are
    /// the records that its turns run by.
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

    /// Whether a refusal that rests on what is kept here of `shard` may be given to a caller.
    ///
    /// A keeper whose lease may have lapsed, without its having heard so, knows the past of programs
    /// that may have gone on elsewhere. It told callers, for good, that their next turn was out of order
    /// or their program unknown. What the caller may send again does no harm.
    pub fn may_refuse(&self, shard: id::ShardId, err: &error::Error) -> bool {
        err.kind.row().retry || self.keeper.is_sole_keeper_of(shard)
    }

    /// Whether the keeper of `program`, if this is it, knows that its engine memory may be freed.
    pub fn may_release(&self, program: &id::ProgramId) -> bool {
        let shard = self.keeper.shard_of(program);
        let gone = self.keeper.with_shard(shard, |shard| {
            let known = shard.program(program);
            known.is_none_or(|known| known.status() == program::Status::Ended)
        });
        gone.is_ok_and(|changed| changed.value)
    }

    /// Tells all sides that hold sessions of the program's shard, or whose engine was seen to hold
    /// its memory, to free that. A side that does not hear it asks after the program later.
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

    /// How this entry stands, for other entries and operators.
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
        }
    }
}

/// Serves other entries.
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

    /// The keeper of the shards asks, so they are not this entry's any more. It stops giving out
    /// answers of theirs before it tells what it gave out: an answer in between would be told to no one.
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
