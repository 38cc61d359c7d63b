//! Settings of the side.

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

/// Type of the upstream that a side runs beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An LLM engine with the OpenAI API.
    Llm,
    /// A plain HTTP service.
    Plain,
}

const KINDS: &[(&str, Kind)] = &[("llm", Kind::Llm), ("plain", Kind::Plain)];

schema::settings! {
    /// The settings file of a side.
    Settings {
        /// Identity of the side.
        instance: Instance;
        /// Listening addresses.
        listen: Listen;
        /// The upstream beside it.
        engine: Engine;
        /// Queue of calls waiting for the upstream.
        queue: Queue;
        /// Per-program state.
        sessions: Sessions;
        /// Graceful shutdown.
        shutdown: shared::Shutdown;
        /// Log lines.
        log: shared::Log;
    }
}

schema::section! {
    /// Identity of the side.
    Instance in "instance" {
        /// Name of the upstream instance beside it, as in the records and the instance list.
        id: id::UpstreamId = SmolStr::new_static("upstream"), codec::Name, required;
        /// The service that the upstream belongs to.
        service: id::ServiceId = SmolStr::new_static("service"), codec::Name, required;
        /// The place of the instance, such as a data centre.
        place: id::PlaceId = SmolStr::new_static("local"), codec::Name, required;
    }
}

schema::section! {
    /// Listening addresses of the side. With port 0 the system picks a free port.
    Listen in "listen" {
        /// Address for calls of entries.
        calls: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
        /// Address for plain HTTP requests, `/metrics`, `/healthz` and `/readyz`.
        http: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
    }
}

schema::section! {
    /// The upstream beside the side.
    Engine in "engine" {
        /// Type of the upstream.
        kind: Kind = Kind::Llm, codec::choice(KINDS);
        /// Address on which the upstream serves HTTP.
        address: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
        /// Most calls that the upstream runs concurrently; 0 if unknown until its first load
        /// report.
        batch: u32 = 0, codec::number(0..=65_536);
        /// Longest wait for a connection.
        connect_timeout: Duration = ms(500), codec::time(ms(10)..=secs(30));
        /// Longest wait from sending a call to its first token or to the head of its answer.
        first_token_timeout: Duration = secs(60), codec::time(ms(100)..=secs(3600));
        /// Longest wait between two tokens of a stream.
        between_tokens_timeout: Duration = secs(10), codec::time(ms(10)..=secs(600));
        /// Polling interval of the upstream's load report.
        load_poll: Duration = ms(100), codec::time(ms(10)..=secs(60));
        /// Polling interval of the upstream's cache events.
        cache_poll: Duration = ms(250), codec::time(ms(10)..=secs(60));
    }
}

schema::section! {
    /// Queue of calls waiting for the upstream.
    Queue in "queue" {
        /// Most waiting calls; further ones are refused.
        max_length: usize = 1024, codec::number(1..=1_000_000);
        /// Most calls sent to the upstream concurrently; the rest wait in order of priority.
        window: Option<u32> = None,
            codec::Optional { codec: codec::number(1..=65_536), absent: "a little above `batch`" };
    }
}

schema::section! {
    /// Per-program state held by the side.
    Sessions in "sessions" {
        /// Time without a heartbeat from its keeper after which a program's KV cache is freed.
        ttl: Duration = secs(15), codec::time(ms(500)..=secs(3600));
        /// Memory for program histories; the least recently used are evicted first.
        history_memory: usize = 64 << 20, codec::size(1 << 20..=16 << 30);
        /// Most finished answers kept for callers that reattach.
        answers_kept: usize = 4096, codec::number(1..=1_000_000);
    }
}

impl Settings {
    fn conflicts(&self) -> Vec<Conflict> {
        let engine = &self.engine;
        let window_below_batch = self
            .queue
            .window
            .is_some_and(|window| window < engine.batch);
        let check = Conflict {
            section: "queue",
            key: "window",
            why: "must not be below the engine's `batch`, or batch slots stay unused",
        };
        check.when(window_below_batch).into_iter().collect()
    }
}
