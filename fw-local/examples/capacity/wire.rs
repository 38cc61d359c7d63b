//! Costs of control messages: heartbeats to sides and statuses between entries.

use std::time::Duration;

use fw_wire::peer;
use fw_wire::side;

use crate::process;
use crate::slope;

/// Heartbeats a second: the limit of the settings, reached with more than 14 sides.
const HEARTBEATS_PER_SECOND: f64 = 28.0;
/// Statuses a second: two requested and, on average, two answered, twice a second.
const STATUSES_PER_SECOND: f64 = 8.0;
/// Shards renewed by a heartbeat: those kept by the entry that have sessions at the side.
const RENEWED_SHARDS: usize = 2;

/// Measures the rows of this role.
pub fn measure() -> Vec<slope::Row> {
    vec![
        bytes(
            "entry",
            "bytes of a heartbeat and its answer",
            heartbeat_bytes,
            HEARTBEATS_PER_SECOND,
            "28 heartbeats a second: B/s",
        ),
        bytes(
            "entry",
            "bytes of a status between entries",
            status_bytes,
            STATUSES_PER_SECOND,
            "8 statuses a second: B/s",
        ),
        heartbeat_time(),
    ]
}

fn bytes(
    role: &'static str,
    what: &'static str,
    of: fn() -> usize,
    target: f64,
    target_note: &'static str,
) -> slope::Row {
    let point = |count: usize| {
        let total: usize = (0..count).map(|_| of()).sum();
        (count as f64, total as f64)
    };
    slope::Row {
        role,
        what,
        unit: "B",
        points: [100, 200, 400, 800].into_iter().map(point).collect(),
        target,
        target_note,
    }
}

fn heartbeat() -> (String, String) {
    let req = side::Heartbeat {
        from: "entry-0123456789abcdef".into(),
        revision: 1_234_567,
        shards: (0..RENEWED_SHARDS)
            .map(|n| (n as u16 + 1000, 1_234_567))
            .collect(),
        cache_seen: 123_456,
        known: u64::MAX,
        ..side::Heartbeat::default()
    };
    let reply = side::HeartbeatReply {
        incarnation: u64::MAX,
        revision: 1_234_567,
        load: side::Load {
            running: 12,
            delay: Duration::from_micros(1_234),
            step: Duration::from_micros(2_612),
            prefill_rate: 45_000,
            cache_used: 300_000,
            cache_size: 400_000,
            batch: 16,
            age: Duration::from_millis(100),
            ..side::Load::default()
        },
        cache_seq: 123_460,
        cache: vec![side::CacheChange {
            program: "site-builder-1234567".into(),
            tokens: 12_345,
        }],
        ..side::HeartbeatReply::default()
    };
    let text = |value: serde_json::Result<String>| value.unwrap_or_default();
    (
        text(serde_json::to_string(&req)),
        text(serde_json::to_string(&reply)),
    )
}

fn heartbeat_bytes() -> usize {
    let (req, reply) = heartbeat();
    req.len() + reply.len()
}

fn status_bytes() -> usize {
    let status = peer::PeerStatus {
        suspects: Some(0),
        entry: "entry-0123456789abcdef".into(),
        place: "surat-hall-a".into(),
        revision: 1_234_567,
        sides_revision: 1_234_567,
        sides: 379,
        shards: 11,
        programs: 368,
        store_silent: Duration::from_millis(12),
        leaving: false,
    };
    serde_json::to_string(&status).map_or(0, |text| text.len())
}

fn heartbeat_time() -> slope::Row {
    let point = |count: usize| {
        let cpu_time = process::cpu_time(|| {
            for _ in 0..count {
                let (_, reply) = heartbeat();
                let read = serde_json::from_str::<side::HeartbeatReply>(&reply);
                std::hint::black_box(read.is_ok());
            }
        });
        (count as f64, cpu_time.as_secs_f64() * 1e6)
    };
    slope::Row {
        role: "entry",
        what: "processor time to write a heartbeat and read its answer, system calls apart",
        unit: "us",
        points: [2_000, 4_000, 8_000, 16_000]
            .into_iter()
            .map(point)
            .collect(),
        target: HEARTBEATS_PER_SECOND,
        target_note: "28 heartbeats a second: us of each second",
    }
}
