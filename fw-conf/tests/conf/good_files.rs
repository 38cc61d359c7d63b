//! Valid files.

use std::time::Duration;

use fw_conf::entry;
use fw_conf::shared;
use fw_conf::side;
use googletest::prelude::*;

/// A minimal settings file of an entry.
pub const ENTRY: &str = "\
[instance]
place = surat-hall-a
[listen]
callers = 10.0.0.1:8080
peers = 10.0.0.1:8081
[store]
endpoints = 10.0.1.1:2379, 10.0.1.2:2379
";

/// A minimal settings file of a side.
pub const SIDE: &str = "\
[instance]
id = engine-1
service = agent-llm
place = surat-hall-a
[listen]
calls = 10.0.0.2:9000
http = 10.0.0.2:9001
[engine]
address = 127.0.0.1:8000
";

#[gtest]
fn least_entry_has_defaults_for_the_rest() {
    let settings = entry::Settings::parse("entry.ini", ENTRY).unwrap();
    expect_that!(settings.instance.place, eq("surat-hall-a"));
    expect_that!(settings.store.endpoints.len(), eq(2));
    expect_that!(settings.keeper, eq(&entry::Keeper::default()));
    expect_that!(settings.plan, eq(&entry::Plan::default()));
}

#[gtest]
fn least_side_has_defaults_for_the_rest() {
    let settings = side::Settings::parse("side.ini", SIDE).unwrap();
    expect_that!(settings.instance.id, eq("engine-1"));
    expect_that!(settings.engine.kind, eq(side::Kind::Llm));
    expect_that!(settings.queue, eq(&side::Queue::default()));
}

#[gtest]
fn values_have_units_words_and_comments() {
    let text = format!(
        "# a comment\r\n{ENTRY}timeout = 250ms\r\n; another\n\n  [callers]\n\tbody_limit = 4MiB\n\
         [upstream]\nheartbeat_interval: 3s\n[log]\nformat = json\nlevel=debug\n\
         [keeper]\nenabled = false\n[plan]\nretry_ratio = 0.25\n[instance]\nid = e-1\n"
    );
    let settings = entry::Settings::parse("entry.ini", text).unwrap();
    expect_that!(settings.store.timeout, eq(Duration::from_millis(250)));
    expect_that!(settings.callers.body_limit, eq(4 << 20));
    expect_that!(
        settings.upstream.heartbeat_interval,
        eq(Duration::from_secs(3))
    );
    expect_that!(settings.log.format, eq(shared::Format::Json));
    expect_that!(settings.log.level.as_str(), eq("debug"));
    expect_that!(settings.keeper.enabled, eq(false));
    expect_that!(settings.plan.retry_ratio, approx_eq(0.25));
    expect_that!(settings.instance.id.as_deref(), some(eq("e-1")));
}

#[gtest]
fn advertised_address_is_the_bound_one_unless_given() {
    let bound = "10.0.0.1:8081".parse().unwrap();
    let mut settings = entry::Settings::default();
    expect_that!(settings.advertised(bound), eq(bound));
    let given = "10.9.9.9:1".parse().unwrap();
    settings.listen.advertise = Some(given);
    expect_that!(settings.advertised(bound), eq(given));
}
