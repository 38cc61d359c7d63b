//! The route that is chosen for a request.

use fw_gate::version::config::{Config, Route};
use googletest::prelude::*;

fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: format!("{host}{prefix}").into(),
        host: host.into(),
        prefix: prefix.into(),
        ..Route::default()
    }
}

#[gtest]
fn is_the_longest_prefix_of_its_host() {
    let config = Config {
        routes: vec![route("a", "/x/"), route("a", "/x/y/"), route("b", "/")],
        ..Config::default()
    };
    let name = |host, path| config.route(host, path).map(|route| route.name.as_str());
    expect_that!(name("a", "/x/y/z"), some(eq("a/x/y/")));
    expect_that!(name("a", "/x/y"), some(eq("a/x/")));
    expect_that!(name("a", "/xy/"), none());
    expect_that!(name("b", "/x/y/"), some(eq("b/")));
    expect_that!(name("c", "/x/"), none());
}

#[gtest]
fn splits_by_weight() {
    let split = Route {
        services: vec![("a".into(), 90.0), ("b".into(), 10.0)],
        ..Route::default()
    };
    let part = (0..100).filter(|draw| split.service(f64::from(*draw) / 100.0).unwrap() == "b");
    expect_that!(part.count(), eq(10));
    expect_that!(Route::default().service(0.5), none());
}
