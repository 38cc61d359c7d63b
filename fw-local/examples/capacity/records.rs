//! Costs of the operators' records: their size, and the processor time of a change.

use fw_record::document;
use fw_record::key;
use fw_record::set;
use fw_store::kv;
use fw_store::watch;

use crate::process;
use crate::slope;

/// Records at the design size: teams, and a few hundred of the other kinds.
const RECORD_COUNT: f64 = 2_000.0;

/// Measures the rows of this role.
pub fn measure() -> Vec<slope::Row> {
    let sizes = [500, 1_000, 2_000, 4_000];
    let row = |what, unit, target, target_note, of: fn(usize) -> f64| slope::Row {
        role: "records",
        what,
        unit,
        points: sizes.iter().map(|n| (*n as f64, of(*n))).collect(),
        target,
        target_note,
    };
    vec![
        row(
            "bytes of the set as shipped, for each record",
            "B",
            RECORD_COUNT,
            "2,000 records",
            |n| set_of(n).to_json().len() as f64,
        ),
        row(
            "processor time of one change, for each record",
            "us",
            RECORD_COUNT,
            "2,000 records: us for each of 21,000 changes a day",
            change_time,
        ),
        row(
            "processor time to read a shipped set, for each record",
            "us",
            RECORD_COUNT,
            "2,000 records",
            |n| {
                let text = set_of(n).to_json();
                process::cpu_time(|| {
                    std::hint::black_box(set::Set::from_json(&text).is_ok());
                })
                .as_secs_f64()
                    * 1e6
            },
        ),
    ]
}

fn change_time(records: usize) -> f64 {
    const CHANGE_COUNT: u32 = 20;
    let set = set_of(records);
    let cpu_time = process::cpu_time(|| {
        for n in 0..CHANGE_COUNT {
            let event = watch::Event {
                kind: watch::EventKind::Put,
                kv: kv::Kv {
                    key: key::Name::new(key::Kind::Team, "team-1").key(),
                    value: br#"{"schema": 2, "share": 2.0}"#.to_vec(),
                    mod_revision: 1_000_000 + i64::from(n),
                    ..kv::Kv::default()
                },
            };
            std::hint::black_box(set.with_events(1_000_000 + i64::from(n), &[event]));
        }
    });
    cpu_time.as_secs_f64() * 1e6 / f64::from(CHANGE_COUNT)
}

fn set_of(records: usize) -> set::Set {
    let team = |n: usize| {
        let name = key::Name::new(key::Kind::Team, format!("team-{n}"));
        let doc = document::Document::parse(name, br#"{"schema": 2, "share": 1.0}"#);
        doc.ok().map(|doc| (n as i64, doc))
    };
    set::Set::from_documents(records as i64, (0..records).filter_map(team).collect())
}
