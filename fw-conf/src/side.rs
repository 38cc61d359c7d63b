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

/// What sort of upstream stands beside the side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine with OpenAI's API.
    Llm,
    /// A plain HTTP service.
    Plain,
}

const KINDS: &[(&str, Kind)] = &[("llm", Kind::Llm), ("plain", Kind::Plain)];

schema::settings! {
    /// The whole settings file of a side.
    Settings {
        /// Who the side is.
        instance: Instance;
        /// Where it listens.
        listen: Listen;
        /// The upstream beside it.
        engine: Engine;
        /// Calls that wait for the upstream.
        queue: Queue;
        /// State of programs.
        sessions: Sessions;
        /// The way to stop.
        shutdown: shared::Shutdown;
        /// Log lines.
        log: shared::Log;
    }
}

schema::section! {
    /// Who the side is.
    Instance in "instance" {
        /// Name of the upstream instance beside it, as in the records and the instance list.
        id: id::UpstreamId = SmolStr::new_static("upstream"), codec::Name, required;
        /// The service that the upstream belongs to.
        service: id::ServiceId = SmolStr::new_static("service"), codec::Name, required;
        /// The place that the instance stands in, such as a data centre.
        place: id::PlaceId = SmolStr::new_static("local"), codec::Name, required;
    }
}

schema::section! {
    /// Where the side listens. Port 0 lets the system pick a free one.
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
        /// What sort of upstream it is.
        kind: Kind = Kind::Llm, codec::choice(KINDS);
        /// Where it listens for HTTP requests.
        address: SocketAddr = LOOPBACK_ANY_PORT, codec::Address, required;
        /// Most calls that it runs together; 0 if it is not known before its first load report.
        batch: u32 = 0, codec::number(0..=65_536);
        /// Longest wait for a connection.
        connect_timeout: Duration = ms(500), codec::time(ms(10)..=secs(30));
        /// Longest wait from sending a call to its first token or the head of its answer.
        first_token_timeout: Duration = secs(60), codec::time(ms(100)..=secs(3600));
        /// Longest wait between two tokens of a stream.
        between_tokens_timeout: Duration = secs(10), codec::time(ms(10)..=secs(600));
        /// Time between two fetches of the load report.
        load_poll: Duration = ms(100), codec::time(ms(10)..=secs(60));
        /// Time between two fetches of cache events.
        cache_poll: Duration = ms(250), codec::time(ms(10)..=secs(60));
    }
}

schema::section! {
    /// Calls that wait for the upstream.
    Queue in "queue" {
        /// Most calls that wait; further ones are refused.
        max_length: usize = 1024, codec::number(1..=1_000_000);
        /// Most calls handed to the upstream together; the rest waits in the order of priority.
        window: Option<u32> = None,
            codec::Optional { codec: codec::number(1..=65_536), absent: "a little above `batch`" };
    }
}

schema::section! {
    /// State of programs that the side holds.
    Sessions in "sessions" {
        /// Time without a heartbeat of its keeper after which a program's engine memory is freed.
        ttl: Duration = secs(15), codec::time(ms(500)..=secs(3600));
        /// Memory for histories; the least recently used ones go first.
        history_memory: usize = 64 << 20, codec::size(1 << 20..=16 << 30);
        /// Most finished answers kept for callers that attach again.
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
            why: "must not be below the engine's `batch`, or its slots stay empty",
        };
        check.when(window_below_batch).into_iter().collect()
    }
}
