//! The operators' page against the code.

use fw_record::document;
use fw_record::key;
use fw_record::schema;
use googletest::prelude::*;
use serde_json::Value;

use crate::run;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// The JSON examples of the page.
fn examples() -> Vec<Value> {
    let blocks = PAGE.split("```json\n").skip(1);
    let texts = blocks.map(|block| block.split("```").next().unwrap());
    texts
        .map(|text| serde_json::from_str(text).unwrap())
        .collect()
}

/// The part of the page about one kind.
fn section(kind: key::Kind) -> &'static str {
    let rest = PAGE.split(&format!("\n### {kind}\n")).nth(1).unwrap();
    rest.split("\n### ").next().unwrap()
}

#[gtest]
fn examples_are_accepted_without_unknown_fields() {
    for file in examples() {
        let kind = file["kind"].as_str().unwrap();
        let name = key::Name::parse(kind, file["name"].as_str().unwrap()).unwrap();
        let json = file["record"].to_string();
        let doc = document::Document::from_operator(name, json.as_bytes()).unwrap();
        expect_that!(doc.unknown_fields(), is_empty());
    }
    let kinds: Vec<_> = examples().iter().map(|file| file["kind"].clone()).collect();
    for kind in key::Kind::ALL {
        expect_that!(kinds, contains(eq(&Value::from(kind.as_str()))));
    }
}

#[gtest]
fn every_field_stands_in_a_row_with_both_names() {
    for kind in key::Kind::ALL {
        for field in document::fields(kind) {
            let new = field.name(schema::Schema::V2);
            let old = field.v1.map_or("none".to_owned(), |v1| format!("`{v1}`"));
            expect_that!(
                section(kind),
                contains_substring(format!("\n| `{new}` | {old} |"))
            );
        }
    }
}

#[gtest]
fn every_command_is_on_the_page() {
    let overview = run("--help").out;
    let commands = overview
        .lines()
        .filter_map(|line| line.strip_prefix("    "));
    let names = commands.map(|line| line.split("  ").next().unwrap().trim());
    let names: Vec<_> = names.collect();
    expect_that!(names, len(eq(12)));
    for name in names {
        expect_that!(PAGE, contains_substring(format!("| `{name}")));
    }
}
