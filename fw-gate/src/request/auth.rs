//! Authentication: the team of a request, by its API key.

use fw_base::{digest, error};
use hyper::HeaderMap;
use hyper::header::{self, HeaderValue};

use crate::version::{config, team};

/// The authentication scheme of API keys.
const SCHEME: &str = "Bearer";

/// Why a request was not authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It carries no key.
    Missing,
    /// Its header cannot be parsed, or it carries several.
    Malformed,
    /// No team holds its key.
    Unknown(digest::Digest),
}

impl Refusal {
    /// Value of the `reason` label of `fw_gate_unauthorized_total`.
    pub fn label(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Malformed => "malformed",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl From<Refusal> for error::Error {
    fn from(refusal: Refusal) -> Self {
        let message = match refusal {
            Refusal::Missing => "the request needs an API key: `Authorization: Bearer KEY`".into(),
            Refusal::Malformed => "`Authorization` must be given once, as `Bearer KEY`".into(),
            Refusal::Unknown(digest) => format!("no team holds the key with digest {digest}"),
        };
        Self::new(error::Kind::Unauthorized, message)
    }
}

/// Returns the team of a request with `headers` on `route`; `None` if the request needs none and has no valid
/// key.
///
/// # Errors
///
/// The reason why the request is refused.
pub fn team<'a>(
    config: &'a config::Config,
    route: &config::Route,
    headers: &HeaderMap,
) -> Result<Option<&'a team::Team>, Refusal> {
    let Some(teams) = &config.teams else {
        return Ok(None);
    };
    let found = key(headers).and_then(|key| {
        let digest = team::digest_of(key);
        teams.of_key(&digest).ok_or(Refusal::Unknown(digest))
    });
    match found {
        Ok(team) => Ok(Some(team)),
        Err(_) if route.is_open => Ok(None),
        Err(refusal) => Err(refusal),
    }
}

/// The API key of a request.
fn key(headers: &HeaderMap) -> Result<&[u8], Refusal> {
    let mut values = headers.get_all(header::AUTHORIZATION).into_iter();
    let value = values.next().ok_or(Refusal::Missing)?;
    if values.next().is_some() {
        return Err(Refusal::Malformed);
    }
    bearer(value).ok_or(Refusal::Malformed)
}

/// The key in `value`: one word after the scheme, which is case-insensitive.
fn bearer(value: &HeaderValue) -> Option<&[u8]> {
    let bytes = value.as_bytes();
    let (scheme, rest) = bytes.split_at_checked(SCHEME.len())?;
    let key = rest.trim_ascii();
    let is_separated = rest.first().is_some_and(u8::is_ascii_whitespace);
    let is_word = !key.is_empty() && !key.iter().any(u8::is_ascii_whitespace);
    let is_bearer = scheme.eq_ignore_ascii_case(SCHEME.as_bytes());
    (is_bearer && is_separated && is_word).then_some(key)
}
