//! Rejection of invalid records, and property tests of the decoders.

use fw_record::document;
use fw_record::envelope;
use fw_record::key;
use fw_record::schema;
use fw_record::set;
use fw_store::kv;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

/// Seed of the generated records.
const SEED: u64 = 1;

fn refusal(kind: key::Kind, json: &Value) -> String {
    let name = key::Name::new(kind, "a");
    let result = document::Document::from_operator(name, json.to_string().as_bytes());
    result.unwrap_err().to_string()
}

#[gtest]
fn refusals_name_field_and_bounds() {
    let cases = [
        (
            key::Kind::Team,
            json!({"schema": 2, "share": 0}),
            ["`share`", "from 0.01 to 100"],
        ),
        (
            key::Kind::Team,
            json!({"schema": 1, "weight": 20_000}),
            ["`weight`", "from 1 to 10000"],
        ),
        (
            key::Kind::Team,
            json!({"schema": 2, "key_hashes": ["secret"]}),
            ["`key_hashes`", "64 hex digits"],
        ),
        (
            key::Kind::Service,
            json!({"schema": 2, "kind": "llm"}),
            ["`models`", "at least one model"],
        ),
        (
            key::Kind::Service,
            json!({"schema": 2, "kind": "plain", "timeout": {"total": 30}}),
            ["`timeout.total`", "`1ms` to `1day`"],
        ),
        (
            key::Kind::Service,
            json!({"schema": 1, "kind": "plain", "timeout_ms": "30s"}),
            ["`timeout_ms`", "milliseconds from 1 to"],
        ),
        (
            key::Kind::Service,
            json!({"schema": 2, "kind": "plain", "tokens": {"default": 9, "max": 8}}),
            ["`tokens.default`", "at most `tokens.max`, which is 8"],
        ),
        (
            key::Kind::Service,
            json!({"schema": 2, "kind": "plain", "timeout_ms": 5}),
            ["`timeout_ms`", "`timeout.total` in its place"],
        ),
        (
            key::Kind::Route,
            json!({"schema": 2, "path": "/v1/models", "service": "s"}),
            ["`path`", "which entries answer"],
        ),
        (
            key::Kind::Route,
            json!({"schema": 2, "path": "/a/../b", "service": "s"}),
            ["`path`", "without"],
        ),
        (
            key::Kind::Budget,
            json!({"schema": 2, "team": "t"}),
            ["`program.turns`", "one of tokens and time"],
        ),
        (
            key::Kind::Budget,
            json!({"schema": 3}),
            ["`schema`", "1 or 2"],
        ),
        (
            key::Kind::Budget,
            json!({"turns": 1}),
            ["`schema`", "missing"],
        ),
    ];
    for (kind, json, words) in cases {
        let message = refusal(kind, &json);
        for word in words {
            expect_that!(message, contains_substring(word));
        }
    }
}

#[gtest]
fn oversized_record_is_refused() {
    let json = json!({"schema": 2, "note": "x".repeat(document::MAX_SIZE)});
    expect_that!(
        refusal(key::Kind::Team, &json),
        contains_substring("at most 65536")
    );
}

/// JSON of any shape, often with field names that records use.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        "[a-z0-9 ]{0,8}".prop_map(Value::from),
        Just(json!("30s")),
        Just(json!("99999999999999999999h")),
    ];
    leaf.prop_recursive(3, 32, 6, |inner| {
        let names = all_names().prop_union("[a-z]{1,6}".boxed());
        let map = prop::collection::hash_map(names, inner.clone(), 0..6);
        prop_oneof![
            prop::collection::vec(inner, 0..6).prop_map(Value::from),
            map.prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

fn all_names() -> BoxedStrategy<String> {
    let fields = key::Kind::ALL.into_iter().flat_map(document::fields);
    let names = fields.flat_map(|f| f.v2.iter().copied().chain(f.v1));
    let names: Vec<_> = names.map(str::to_owned).collect();
    prop::sample::select(names).boxed()
}

/// Values that are valid for some field.
fn likely_value() -> impl Strategy<Value = Value> {
    prop_oneof![
        (1..200_u64).prop_map(Value::from),
        (1..200_u64).prop_map(|n| format!("{n}ms").into()),
        Just(json!("llm")),
        Just(json!("/a")),
        Just(json!(["GET"])),
        Just(json!(1.5)),
        Just(json!("cache")),
    ]
}

/// A record of random fields that are valid for its kind, sometimes with one more field of any
/// shape.
fn any_record() -> impl Strategy<Value = (key::Kind, Map<String, Value>)> {
    let fields = prop::collection::vec((any::<prop::sample::Index>(), likely_value()), 1..24);
    let extra = prop::option::weighted(0.2, (all_names(), any_json()));
    (any_kind(), 1..3_u64, fields, extra).prop_map(|(kind, schema, fields, extra)| {
        let mut map = minimal(kind, schema);
        for (index, value) in fields {
            let field = index.get(document::fields(kind));
            let before = map.clone();
            set_field(&mut map, schema, field, value);
            let json = Value::Object(map.clone()).to_string();
            let name = key::Name::new(kind, "a");
            if document::Document::from_operator(name, json.as_bytes()).is_err() {
                map = before;
            }
        }
        map.extend(extra);
        (kind, map)
    })
}

fn set_field(map: &mut Map<String, Value>, schema: u64, field: &schema::Field, value: Value) {
    match (schema, field.v1, field.v2) {
        (1, Some(name), _) => {
            map.insert(name.to_owned(), value);
        }
        (_, _, [name]) => {
            map.insert((*name).to_owned(), value);
        }
        (_, _, [group, name, ..]) => {
            let group = map.entry(*group).or_insert_with(|| json!({}));
            group[*name] = value;
        }
        _ => (),
    }
}

/// A record with only the fields that its kind requires.
fn minimal(kind: key::Kind, schema: u64) -> Map<String, Value> {
    let mut json = match (kind, schema) {
        (key::Kind::Service, _) => json!({"kind": "plain"}),
        (key::Kind::Route, _) => json!({"path": "/a", "service": "s"}),
        (key::Kind::Team, _) => json!({}),
        (key::Kind::Budget, 1) => json!({"turns": 1}),
        (key::Kind::Budget, _) => json!({"program": {"turns": 1}}),
    };
    json["schema"] = schema.into();
    json.as_object().unwrap().clone()
}

fn any_kind() -> impl Strategy<Value = key::Kind> {
    prop::sample::select(key::Kind::ALL.to_vec())
}

/// Generates the cases from a fixed seed; `PROPTEST_CASES` sets their number.
fn config() -> test_runner::Config {
    test_runner::Config {
        failure_persistence: None,
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), kind in any_kind()) {
        let name = key::Name::new(kind, "a");
        let _ = document::Document::from_operator(name.clone(), &bytes);
        let _ = envelope::Envelope::document(name, &bytes);
        let _ = set::Set::from_json(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn accepted_records_read_alike_in_every_form((kind, raw) in any_record()) {
        let name = key::Name::new(kind, "a");
        let json = Value::Object(raw).to_string();
        if let Ok(doc) = document::Document::from_operator(name.clone(), json.as_bytes()) {
            let again = document::Document::from_raw(name.clone(), doc.raw().clone()).unwrap();
            prop_assert_eq!(again.record(), doc.record());
            let shown = Value::Object(doc.operator_fields()).to_string();
            let shown = document::Document::from_operator(name.clone(), shown.as_bytes()).unwrap();
            prop_assert_eq!(shown.record(), doc.record());
            let upgraded = doc.upgraded();
            let read = document::Document::from_raw(name.clone(), upgraded.raw().clone()).unwrap();
            prop_assert_eq!(read.record(), doc.record());
            let old = schema::Schema::V1;
            let old = document::Document::read_as(old, name, upgraded.raw().clone());
            prop_assert!(old.is_ok(), "{:?}", old);
        }
    }

    #[test]
    fn sets_survive_any_values(
        values in prop::collection::vec((any_kind(), any_json()), 0..6),
        revision in any::<i64>(),
    ) {
        let kvs: Vec<_> = values.into_iter().enumerate().map(|(n, (kind, value))| kv::Kv {
            key: key::Name::new(kind, format!("r{n}")).key(),
            value: value.to_string().into_bytes(),
            mod_revision: 1,
            ..kv::Kv::default()
        }).collect();
        let set = set::Set::from_kvs(revision, &kvs);
        prop_assert_eq!(set.versions().count() + set.problems().len(), kvs.len());
        let shipped = set::Set::from_json(&set.to_json()).unwrap();
        prop_assert_eq!(shipped.to_json(), set.to_json());
    }
}
