//! API keys, and the teams to which they assign requests.

use fw_gate::request::auth::{self, Refusal};
use fw_gate::request::call::Call;
use fw_gate::version::config::{Config, Route};
use fw_gate::version::team::{Team, Teams, digest_of};
use googletest::prelude::*;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderValue};

use crate::call_headers;

fn config() -> Config {
    let mut teams = Teams::default();
    for (name, keys) in [("temple", vec!["k1", "k2"]), ("shop", vec!["k3"])] {
        let team = Team {
            name: name.into(),
            ..Team::default()
        };
        teams.add(team, keys);
    }
    Config {
        teams: Some(teams),
        ..Config::default()
    }
}

fn headers(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(AUTHORIZATION, HeaderValue::from_bytes(value).unwrap());
    }
    headers
}

fn team(config: &Config, route: &Route, values: &[&[u8]]) -> Result<Option<String>, Refusal> {
    let team = auth::team(config, route, &headers(values))?;
    Ok(team.map(|team| team.name.to_string()))
}

#[gtest]
fn name_the_team_that_holds_them() {
    let (config, route) = (config(), Route::default());
    for (value, name) in [
        ("Bearer k1", "temple"),
        ("bearer k2", "temple"),
        ("BEARER  k3", "shop"),
        ("Bearer\tk3 ", "shop"),
    ] {
        let found = team(&config, &route, &[value.as_bytes()]);
        expect_that!(found, ok(some(eq(name))), "{value}");
    }
}

#[gtest]
fn are_refused_unless_one_team_holds_them() {
    let (config, route) = (config(), Route::default());
    expect_that!(team(&config, &route, &[]), err(eq(&Refusal::Missing)));
    let unknown = Refusal::Unknown(digest_of(b"k9"));
    expect_that!(team(&config, &route, &[b"Bearer k9"]), err(eq(&unknown)));
    for values in [
        vec![b"Bearer k1".as_slice(), b"Bearer k3"],
        vec![b"Bearer".as_slice()],
        vec![b"Bearer ".as_slice()],
        vec![b"Bearerk1".as_slice()],
        vec![b"Basic k1".as_slice()],
        vec![b"k1".as_slice()],
        vec![b"Bearer k1 k3".as_slice()],
        vec![b"".as_slice()],
    ] {
        let found = team(&config, &route, &values);
        expect_that!(found, err(eq(&Refusal::Malformed)), "{values:?}");
    }
    let bytes = team(&config, &route, &[b"Bearer \xff\xfe"]);
    expect_that!(bytes, err(matches_pattern!(Refusal::Unknown(_))));
}

#[gtest]
fn are_not_needed_on_open_routes_or_without_teams() {
    let open = Route {
        is_open: true,
        ..Route::default()
    };
    expect_that!(team(&config(), &open, &[]), ok(none()));
    expect_that!(team(&config(), &open, &[b"Bearer k9"]), ok(none()));
    let known = team(&config(), &open, &[b"Bearer k1"]);
    expect_that!(known, ok(some(eq("temple"))));
    let without = team(&Config::default(), &Route::default(), &[]);
    expect_that!(without, ok(none()));
}

// Guards against a team's program that continues another team's turn by naming its id, and so gets what the
// other team's customers wrote.
#[gtest]
fn scope_ids_to_their_team() {
    let mut headers = HeaderMap::new();
    for name in ["id", "program", "session", "previous"] {
        headers.insert(name, HeaderValue::from_static("1"));
    }
    let call = Call::read(&call_headers::names(), &headers).unwrap();
    let temple = call.clone().scoped_to(&"temple".into());
    let shop = call.clone().scoped_to(&"shop".into());
    expect_that!(temple.id, eq(&shop.id));
    expect_that!(temple.turn, not(eq(&shop.turn)));
    expect_that!(temple.program, not(eq(&shop.program)));
    expect_that!(temple.session, not(eq(&shop.session)));
    expect_that!(temple.previous, not(eq(&shop.previous)));
    expect_that!(temple.previous, some(eq(&temple.turn)));
    expect_that!(call.previous, some(eq("1")));
}
