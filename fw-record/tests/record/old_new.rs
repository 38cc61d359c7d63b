//! Compatibility of readers and writers of the two schema versions.

use std::time::Duration;

use fw_record::document;
use fw_record::key;
use fw_record::schema;
use googletest::prelude::*;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::doc;

fn read_as(newest: schema::Schema, kind: key::Kind, raw: &Map<String, Value>) -> document::Record {
    let name = key::Name::new(kind, "a");
    let doc = document::Document::read_as(newest, name, raw.clone()).unwrap();
    doc.record().clone()
}

/// The same record of each kind in both versions.
fn pairs() -> Vec<(key::Kind, Value, Value)> {
    vec![
        (
            key::Kind::Service,
            json!({
                "schema": 1, "kind": "llm", "models": ["m"], "retention_secs": 5400,
                "default_tokens": 100, "max_tokens": 900, "timeout_ms": 1500,
                "tool_timeout_ms": 60_000, "plain_timeout_ms": 250,
            }),
            json!({
                "schema": 2, "kind": "llm", "models": ["m"], "retention": "1h 30m",
                "tokens": {"default": 100, "max": 900},
                "timeout": {"total": "1500ms", "tool": "1m", "plain": "250ms"},
            }),
        ),
        (
            key::Kind::Route,
            json!({
                "schema": 1, "path": "/case", "service": "s", "repeatable": ["GET", "PUT"],
                "timeout_ms": 3000, "hedge_ms": 40,
            }),
            json!({
                "schema": 2, "path": "/case", "service": "s",
                "methods": {"repeatable": ["GET", "PUT"]},
                "timeout": {"total": "3s"}, "hedge": {"after": "40ms"},
            }),
        ),
        (
            key::Kind::Team,
            json!({"schema": 1, "weight": 250, "max_programs": 7}),
            json!({"schema": 2, "share": 2.5, "programs": {"max": 7}}),
        ),
        (
            key::Kind::Budget,
            json!({"schema": 1, "team": "t", "turns": 9, "tokens": 100, "time_ms": 60_000}),
            json!({
                "schema": 2, "team": "t",
                "program": {"turns": 9, "tokens": 100, "time": "1m"},
            }),
        ),
    ]
}

#[gtest]
fn both_versions_mean_the_same() {
    for (kind, old, new) in pairs() {
        let old = doc(kind, "a", &old);
        let new = doc(kind, "a", &new);
        expect_eq!(old.record(), new.record());
        expect_eq!(old.upgraded().record(), new.record());
        expect_eq!(old.upgraded().schema(), schema::Schema::V2);
    }
}

#[gtest]
fn old_reader_understands_new_records() {
    // During a migration some processes support version 1 only. A record written in version 2 must
    // not leave them without its service, nor with limits that differ from the rest of the fleet.
    for (kind, old, new) in pairs() {
        let expected = doc(kind, "a", &old);
        let new = doc(kind, "a", &new);
        let seen = read_as(schema::Schema::V1, kind, new.raw());
        expect_eq!(&seen, expected.record());
    }
}

#[gtest]
fn change_by_an_old_writer_is_not_lost_on_new_readers() {
    // A process that supports version 1 only rewrites a record of version 2: it changes the fields
    // of version 1, keeps those it does not know and sets `schema` to 1. A reader of version 2 that
    // still preferred the fields of version 2 would revert the change.
    let new = json!({
        "schema": 2, "kind": "llm", "models": ["m"], "colour": "teal",
        "timeout": {"total": "5s", "first_token": "2s"},
    });
    let mut raw = doc(key::Kind::Service, "a", &new).raw().clone();
    raw.insert("schema".into(), 1.into());
    raw.insert("timeout_ms".into(), 7000.into());
    let document::Record::Service(service) = read_as(schema::Schema::V2, key::Kind::Service, &raw)
    else {
        panic!("a service");
    };
    expect_eq!(service.timeout.total, Duration::from_secs(7));
    // A field without an equivalent in version 1 is kept.
    expect_eq!(service.timeout.first_token, Duration::from_secs(2));
}

#[gtest]
fn unknown_fields_survive_a_rewrite() {
    for (kind, old, new) in pairs() {
        for mut json in [old, new] {
            json["colour"] = json!({"of": "a later version"});
            let doc = doc(kind, "a", &json);
            let upgraded = doc.upgraded();
            for raw in [
                doc.raw(),
                &doc.operator_fields(),
                upgraded.raw(),
                &upgraded.operator_fields(),
            ] {
                expect_eq!(raw.get("colour"), json.get("colour"));
            }
            expect_eq!(doc.unknown_fields(), vec!["colour".to_owned()]);
        }
    }
}

#[gtest]
fn later_version_is_read_as_the_newest_known() {
    let json = br#"{"schema": 3, "share": 2.5, "fairness": {"new": true}}"#;
    let name = key::Name::new(key::Kind::Team, "a");
    let doc = document::Document::parse(name, json).unwrap();
    let document::Record::Team(team) = doc.record() else {
        panic!("a team");
    };
    expect_eq!(team.share, 2.5);
}

#[gtest]
fn operators_see_what_they_wrote() {
    for (kind, old, new) in pairs() {
        for json in [old, new] {
            expect_eq!(Value::Object(doc(kind, "a", &json).operator_fields()), json);
        }
    }
}
