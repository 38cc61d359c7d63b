//! Settings of the entry.

use std::net::SocketAddr;
use std::time::Duration;

use fw_base::id;
use smol_str::SmolStr;

use crate::codec;
use crate::reader::Conflict;
use crate::schema;
use crate::shared;
use crate::shared::LOOPBACK_ANY_PORT;
use crate::shared::ms;
use crate::shared::secs;

schema::settings! {
    /// The settings file of an entry.
    Settings {
        /// Identity of the entry.
        instance: Instance;
        /// Listening addresses.
        listen: Listen;
        /// The platform's key-value service.
        store: Store;
        /// The platform's instance list.
        platform: Platform;
        /// Shards of programs kept by this entry.
        keeper: Keeper;
        /// Connections and calls of callers.
        callers: Callers;
        /// Calls to sides.
        upstream: Upstream;
        /// Admission, retries and hedging.
        plan: Plan;
        /// Graceful shutdown.
        shutdown: shared::Shutdown;
        /// Log lines.
        log: shared::Log;
        /// Explanations of decisions.
        explain: Explain;
    }
}

schema::section! {
    /// Identity of the entry.
    Instance in "instance" {
        /// Name of the process, unique among all entries; each start needs a new one.
        id: Option<id::EntryId> = None,
            codec::Optional { codec: codec::Name, absent: "drawn at random at each start" };
        /// The place of the instance, such as a data centre.
        place: id::PlaceId = SmolStr::new_static("local"), codec::Name, required;
    }
}

schema::section! {
    /// Listening addresses of the entry. With port 0 the system picks a free port.
    Listen in "listen" {
        /// Address for callers' HTTP requests.
        callers: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
        /// Address for calls of other entries.
        peers: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
        /// Address for `/metrics` and operators' requests.
        admin: SocketAddr = SocketAddr::from(([127, 0, 0, 1], 9180)), codec::Address;
        /// Address published to other entries for reaching `peers`.
        advertise: Option<SocketAddr> = None,
            codec::Optional { codec: codec::Address, absent: "the address of `peers`" };
    }
}

schema::section! {
    /// The platform's key-value service, used through the etcd v3 HTTP/JSON gateway.
    Store in "store" {
        /// Addresses of the service; if one does not answer, the next is tried.
        endpoints: Vec<SocketAddr> = vec![LOOPBACK_ANY_PORT], codec::List(codec::Address), required;
        /// Longest wait for a response. A write that timed out is read back before it is
        /// repeated.
        timeout: Duration = secs(1), codec::time(ms(10)..=secs(30));
    }
}

schema::section! {
    /// The platform's list of live and leaving instances.
    Platform in "platform" {
        /// URL of the list.
        instances: Option<SmolStr> = None,
            codec::Optional { codec: codec::Url, absent: "no list: upstreams come from the records" };
        /// Polling interval of the list.
        poll_interval: Duration = secs(2), codec::time(ms(50)..=secs(60));
    }
}

schema::section! {
    /// The keeper orders the turns of programs and makes them durable, for the shards that it
    /// leases.
    Keeper in "keeper" {
        /// Whether this entry keeps shards. In a large fleet only some entries should, since all
        /// keepers share the store's write capacity for commits.
        enabled: bool = true, codec::Flag;
        /// Time after which the shards of a dead entry may be taken over.
        lease_ttl: Duration = secs(5), codec::time(secs(1)..=secs(60));
        /// Shortest wait for further turns before a group commit.
        commit_window_min: Duration = ms(2), codec::time(ms(0)..=secs(1));
        /// Longest wait for further turns before a group commit.
        commit_window_max: Duration = ms(200), codec::time(ms(1)..=secs(10));
        /// How long a finished answer waits for its commit. After that it is delivered
        /// uncommitted, and keeper and side hold it until the store answers again.
        commit_wait: Duration = secs(1), codec::time(ms(10)..=secs(30));
        /// Most turns held while the store does not answer; further ones are refused.
        pending_limit: usize = 4096, codec::number(1..=1_000_000);
    }
}

schema::section! {
    /// Connections and calls of callers.
    Callers in "callers" {
        /// Largest request body.
        body_limit: usize = 16 << 20, codec::size(1 << 10..=32 << 20);
        /// Deadline of a call whose caller sets none.
        deadline_default: Duration = secs(120), codec::time(ms(100)..=secs(3600));
        /// Longest deadline that a caller may set.
        deadline_max: Duration = secs(600), codec::time(ms(100)..=secs(3600));
        /// Longest wait for a request's head, after which the connection is closed.
        idle_timeout: Duration = secs(75), codec::time(secs(1)..=secs(3600));
    }
}

schema::section! {
    /// Calls to sides and, through them, to upstreams.
    Upstream in "upstream" {
        /// Longest wait for a connection.
        connect_timeout: Duration = ms(500), codec::time(ms(10)..=secs(30));
        /// Interval of heartbeats to each side.
        heartbeat_interval: Duration = ms(500), codec::time(ms(20)..=secs(30));
        /// Most heartbeats that this entry sends per second; with many upstreams the interval
        /// grows.
        heartbeats_per_second: u32 = 28, codec::number(1..=100_000);
        /// Consecutive failed heartbeats or calls after which an upstream gets no new work for a
        /// while.
        missed_heartbeats: u32 = 3, codec::number(1..=100);
        /// Long-poll timeout of a read at the side for the next event of an attempt.
        read_wait: Duration = secs(1), codec::time(ms(10)..=secs(30));
        /// Number of entries in an upstream's own place that send it heartbeats and calls.
        watchers_near: usize = 3, codec::number(1..=1024);
        /// Number of entries in other places that send an upstream heartbeats and calls.
        watchers_far: usize = 1, codec::number(0..=1024);
        /// Up to this number of upstreams, every entry sends heartbeats and calls to all of them.
        watch_all: usize = 128, codec::number(0..=100_000);
    }
}

schema::section! {
    /// Admission, retries and hedging.
    Plan in "plan" {
        /// Target queueing delay of admission control.
        target_delay: Duration = ms(100), codec::time(ms(1)..=secs(60));
        /// Lower bound of the adaptive concurrency limit.
        limit_min: u32 = 4, codec::number(1..=100_000);
        /// Upper bound of the adaptive concurrency limit.
        limit_max: u32 = 4096, codec::number(1..=1_000_000);
        /// Retries that each first attempt adds to the retry budget.
        retry_ratio: f64 = 0.1, codec::number(0.0..=1.0);
        /// Whether a slow idempotent read is hedged to a second upstream.
        hedge: bool = true, codec::Flag;
        /// Shortest delay before a read is hedged, once its usual latency is known.
        hedge_delay: Duration = ms(2), codec::time(ms(1)..=secs(30));
    }
}

schema::section! {
    /// Explanations of why a call was placed, delayed, retried or refused.
    Explain in "explain" {
        /// Most decisions that are kept.
        records_kept: usize = 4096, codec::number(0..=1_000_000);
    }
}

impl Settings {
    /// The address published to other entries, given the bound address of `peers`.
    pub fn advertised(&self, bound: SocketAddr) -> SocketAddr {
        self.listen.advertise.unwrap_or(bound)
    }

    fn conflicts(&self) -> Vec<Conflict> {
        let listen = &self.listen;
        let no_address = listen.peers.ip().is_unspecified() && listen.advertise.is_none();
        let advertised = listen.advertise.map(|address| address.ip());
        let checks = [
            Conflict {
                section: "listen",
                key: "advertise",
                why: "`peers` listens on all addresses: set one that other entries can reach",
            }
            .when(no_address),
            Conflict {
                section: "listen",
                key: "advertise",
                why: "0.0.0.0 and :: are not reachable: set the instance's own address",
            }
            .when(advertised.is_some_and(|ip| ip.is_unspecified())),
            Conflict {
                section: "keeper",
                key: "commit_window_min",
                why: "must not exceed `commit_window_max`",
            }
            .when(self.keeper.commit_window_min > self.keeper.commit_window_max),
            Conflict {
                section: "callers",
                key: "deadline_default",
                why: "must not exceed `deadline_max`",
            }
            .when(self.callers.deadline_default > self.callers.deadline_max),
            Conflict {
                section: "plan",
                key: "limit_min",
                why: "must not exceed `limit_max`",
            }
            .when(self.plan.limit_min > self.plan.limit_max),
        ];
        checks.into_iter().flatten().collect()
    }
}
