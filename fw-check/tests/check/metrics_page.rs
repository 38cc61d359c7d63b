//! The metrics page and the code name the same metrics and error kinds.

use std::collections::BTreeSet;

use fw_base::error;
use googletest::prelude::*;

use crate::source_tree;

/// Prefix of the name of each metric.
const PREFIX: &str = "fw_";

fn page() -> String {
    std::fs::read_to_string(source_tree::root().join("docs/METRICS.md")).unwrap()
}

/// The metrics named in the first column of the page's tables.
fn on_page() -> BTreeSet<String> {
    let page = page();
    let cells = page.lines().filter_map(|line| line.strip_prefix("| `"));
    let names = cells.filter_map(|cell| cell.split('`').next());
    let metrics = names.filter(|name| name.starts_with(PREFIX));
    metrics.map(str::to_owned).collect()
}

/// The string literals in the sources that are the name of a metric.
fn in_code() -> BTreeSet<String> {
    let files = source_tree::files();
    let texts = files.iter().map(|path| source_tree::read(path));
    texts.flat_map(|text| metric_names(&text)).collect()
}

fn metric_names(text: &str) -> Vec<String> {
    let literals = text.split('"').skip(1).step_by(2);
    let is_name = |s: &&str| {
        let is_word = s.bytes().all(|b| b.is_ascii_lowercase() || b == b'_');
        s.starts_with(PREFIX) && is_word
    };
    literals.filter(is_name).map(str::to_owned).collect()
}

#[gtest]
fn each_metric_in_the_code_is_on_the_page() {
    let missing: Vec<_> = in_code().difference(&on_page()).cloned().collect();
    expect_that!(missing, is_empty());
}

#[gtest]
fn each_metric_on_the_page_is_in_the_code() {
    let missing: Vec<_> = on_page().difference(&in_code()).cloned().collect();
    expect_that!(missing, is_empty());
}

#[gtest]
fn each_kind_of_error_is_on_the_page_as_in_its_table() {
    let page = page();
    for kind in error::Kind::ALL {
        let row = kind.row();
        let ran = format!("{:?}", row.ran).to_lowercase();
        let retry = if row.retry { "yes" } else { "no" };
        let line = format!("| `{}` | {} | {ran} | {retry} | ", row.label, row.status);
        expect_that!(page.contains(&line), eq(true), "{line}");
    }
}

#[gtest]
fn metric_names_are_found_in_a_source() {
    let text = r#"metrics::counter!("fw_a_total", "kind" => "x"); const B: &str = "fw_b";"#;
    expect_that!(
        metric_names(text),
        elements_are![eq("fw_a_total"), eq("fw_b")]
    );
    expect_that!(metric_names("use fw_base::error;"), is_empty());
}
