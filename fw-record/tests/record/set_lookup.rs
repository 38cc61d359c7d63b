//! Look-ups in the set, and the choice of the set in force.

use fw_base::digest;
use fw_record::holder;
use fw_record::key;
use fw_record::set;
use fw_store::kv;
use fw_store::watch;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;

use crate::doc;

fn kv_of(kind: key::Kind, name: &str, revision: i64, json: &Value) -> kv::Kv {
    kv::Kv {
        key: key::Name::new(kind, name).key(),
        value: json.to_string().into_bytes(),
        mod_revision: revision,
        ..kv::Kv::default()
    }
}

fn put(kv: kv::Kv) -> watch::Event {
    watch::Event {
        kind: watch::EventKind::Put,
        kv,
    }
}

fn share(share: f64) -> Value {
    json!({"schema": 2, "share": share})
}

#[gtest]
fn longest_path_wins_by_whole_segments() {
    let route = |name, path| {
        let json = json!({"schema": 2, "path": path, "service": name});
        (1, doc(key::Kind::Route, name, &json))
    };
    let docs = vec![
        route("all", "/"),
        route("doc", "/doc"),
        route("pdf", "/doc/pdf/"),
    ];
    let set = set::Set::from_documents(1, docs);
    let found = |path| set.route_for(path).map(|route| route.name.as_str());
    expect_eq!(found("/doc/pdf/7"), Some("pdf"));
    expect_eq!(found("/doc/pdfs"), Some("doc"));
    expect_eq!(found("/docs"), Some("all"));
}

#[gtest]
fn budget_aimed_most_closely_wins() {
    let budget = |name, service, team| {
        let json = json!({
            "schema": 2, "service": service, "team": team, "program": {"turns": 1},
        });
        (1, doc(key::Kind::Budget, name, &json))
    };
    let docs = vec![
        budget("any", "*", "*"),
        budget("svc", "s", "*"),
        budget("team", "*", "t"),
        budget("both", "s", "t"),
    ];
    let set = set::Set::from_documents(1, docs);
    let found = |service, team| set.budget_for(service, team).unwrap().name.to_string();
    expect_eq!(found("s", "t"), "both");
    expect_eq!(found("x", "t"), "team");
    expect_eq!(found("s", "x"), "svc");
    expect_eq!(found("x", "x"), "any");
}

#[gtest]
fn keys_and_models_lead_to_their_owners() {
    let hash = String::from(digest::Digest::of_bytes(b"secret"));
    let team = doc(
        key::Kind::Team,
        "t",
        &json!({"schema": 2, "key_hashes": [hash]}),
    );
    let service = json!({"schema": 2, "kind": "llm", "models": ["m"], "pool": "p"});
    let service = doc(key::Kind::Service, "s", &service);
    let set = set::Set::from_documents(1, vec![(1, team), (1, service)]);
    expect_true!(set.has_keys());
    expect_eq!(set.team_by_key(&hash).as_deref(), Some("t"));
    expect_eq!(set.service_for_model("m").unwrap().pool, "p");
    expect_true!(set.service_for_model("x").is_none());
}

#[gtest]
fn last_good_version_stays_in_force() {
    // An operator's tool writes an invalid record. The last valid version of it and all other
    // records must stay in force, and the problem must name the record.
    let good = kv_of(key::Kind::Team, "t", 5, &share(2.0));
    let other = kv_of(key::Kind::Team, "u", 6, &share(3.0));
    let set = set::Set::from_kvs(6, &[good, other]);
    let bad = kv_of(key::Kind::Team, "t", 7, &share(-1.0));
    let set = set.with_events(7, &[put(bad)]);
    expect_eq!(set.team("t").unwrap().share, 2.0);
    expect_eq!(set.team("u").unwrap().share, 3.0);
    expect_eq!(set.problems()[0].name.name, "t");
    expect_that!(set.problems()[0].reason, contains_substring("`share`"));
    let fixed = kv_of(key::Kind::Team, "t", 8, &share(4.0));
    let set = set.with_events(8, &[put(fixed)]);
    expect_eq!(set.team("t").unwrap().share, 4.0);
    expect_that!(set.problems(), is_empty());
}

#[gtest]
fn last_good_version_survives_a_whole_read() {
    // As `last_good_version_stays_in_force`, but the process reads all records again, as after a
    // compaction.
    let good = kv_of(key::Kind::Team, "t", 5, &share(2.0));
    let bad = kv_of(key::Kind::Team, "t", 7, &share(-1.0));
    let set = set::Set::from_kvs(5, &[good]).with_records(7, &[bad]);
    expect_eq!(set.team("t").unwrap().share, 2.0);
    expect_that!(set.problems(), len(eq(1)));
    expect_eq!(set.revision(), 7);
}

#[gtest]
fn older_set_never_replaces_a_newer() {
    // A set read before a change arrives after the change is in force, from a slow read or a
    // lagging peer. Applying it would revert an accepted change.
    let holder = holder::Holder::default();
    let newer = set::Set::from_kvs(9, &[kv_of(key::Kind::Team, "t", 9, &share(2.0))]);
    let older = set::Set::from_kvs(8, &[kv_of(key::Kind::Team, "t", 8, &share(1.0))]);
    expect_eq!(holder.offer(newer), holder::Offer::Applied);
    expect_eq!(holder.offer(older), holder::Offer::Stale);
    expect_eq!(holder.current().team("t").unwrap().share, 2.0);
}

#[gtest]
fn late_event_does_not_undo_a_set_from_a_peer() {
    // A set from a peer is ahead of this process's watch, which then delivers an older change
    // together with a newer one of another record. The older one must be ignored.
    let set = set::Set::from_kvs(7, &[kv_of(key::Kind::Team, "t", 7, &share(2.0))]);
    let late = put(kv_of(key::Kind::Team, "t", 5, &share(1.0)));
    let newer = put(kv_of(key::Kind::Team, "u", 9, &share(3.0)));
    let set = set.with_events(9, &[late, newer]);
    expect_eq!(set.team("t").unwrap().share, 2.0);
    expect_eq!(set.team("u").unwrap().share, 3.0);
}
