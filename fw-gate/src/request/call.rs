//! The headers of a request, decoded.

use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_plan::prefix;
use fw_replica::{affinity, record, streams};
use hyper::HeaderMap;
use hyper::header::{self, HeaderName, HeaderValue};
use smol_str::SmolStr;

use crate::names;

/// Hop-by-hop headers, which concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// A call, as its headers describe it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Call {
    /// Id of the caller's attempt.
    pub id: SmolStr,
    /// The caller's team, if callers have teams.
    pub team: Option<id::TeamId>,
    /// Id of the turn.
    pub turn: record::TurnId,
    /// How long the caller waits; `None` if it states no deadline.
    pub deadline: Option<Duration>,
    /// The program.
    pub program: Option<id::ProgramId>,
    /// The session, a sequence of turns; also set on a tool's call between two turns.
    pub session: Option<SmolStr>,
    /// The object that it concerns.
    pub object: Option<SmolStr>,
    /// Time until the program's deadline; `None` if the caller states none.
    pub program_deadline: Option<Duration>,
    /// Parts of the prompt; empty if the caller does not name them.
    pub parts: Vec<prefix::Part>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: id::Tokens,
    /// Maximum number of generated tokens.
    pub max_tokens: id::Tokens,
    /// Maximum number of tokens that the whole program may generate.
    pub budget: Option<id::Tokens>,
    /// The turn that this one continues.
    pub previous: Option<record::TurnId>,
    /// Id of the last event that the caller received.
    pub resume_after: Option<SmolStr>,
    /// Id of the caller's attempt that brought the first event of the stream that is resumed.
    pub resumed_stream: Option<streams::StreamId>,
}

impl Call {
    /// Session and program, whose turns have prompts that begin alike.
    pub fn lineage(&self) -> affinity::Lineage {
        affinity::Lineage {
            session: self.session.clone(),
            program: self.program.clone(),
        }
    }

    /// Scopes the ids of the call to `team`. Two teams may choose the same ids, and neither may reach the
    /// other's turns, programs and sessions.
    pub fn scoped_to(self, team: &id::TeamId) -> Self {
        // No header value contains this character, so ids of two teams are never equal.
        let scoped = |id: SmolStr| smol_str::format_smolstr!("{team}\u{b7}{id}");
        Self {
            team: Some(team.clone()),
            turn: scoped(self.turn),
            program: self.program.map(scoped),
            session: self.session.map(scoped),
            previous: self.previous.map(scoped),
            resumed_stream: self.resumed_stream.map(scoped),
            parts: prefix::scope(self.parts, team.as_bytes()),
            ..self
        }
    }

    /// Decodes `headers`.
    ///
    /// # Errors
    ///
    /// `BadRequest`, naming the header, when one cannot be read.
    pub fn read(names: &names::HeaderNames, headers: &HeaderMap) -> Result<Self, error::Error> {
        let id = text(headers, &names.request_id)?;
        let Some(id) = id.filter(|id| !id.is_empty()) else {
            return Err(bad(&names.request_id, "must be given"));
        };
        let (prompt_tokens, max_tokens) = tokens(names, headers)?;
        Ok(Self {
            turn: id.clone(),
            id,
            team: None,
            deadline: number(headers, &names.deadline_ms)?.map(Duration::from_millis),
            program: text(headers, &names.program)?,
            session: text(headers, &names.session)?,
            object: object(names, headers),
            program_deadline: number(headers, &names.program_deadline_ms)?
                .map(Duration::from_millis),
            parts: parts(names, headers),
            prompt_tokens,
            max_tokens,
            budget: number(headers, &names.budget)?,
            previous: text(headers, &names.previous)?,
            resume_after: text(headers, &names.resume_after)?,
            resumed_stream: text(headers, &names.resumed_stream)?,
        })
    }
}

fn tokens(
    names: &names::HeaderNames,
    headers: &HeaderMap,
) -> Result<(id::Tokens, id::Tokens), error::Error> {
    let Some(both) = text(headers, &names.tokens)? else {
        return Ok((0, 0));
    };
    let parsed = both.split_once(',').and_then(|(prompt, max)| {
        let prompt = prompt.trim().parse().ok()?;
        let max = max.trim().parse().ok()?;
        Some((prompt, max))
    });
    parsed.ok_or_else(|| bad(&names.tokens, "must be two whole numbers and a comma"))
}

/// The parts of the prompt. They only make calls faster, so a header that cannot be read counts as absent.
fn parts(names: &names::HeaderNames, headers: &HeaderMap) -> Vec<prefix::Part> {
    let Some(text) = headers.get(&names.prompt_parts) else {
        return Vec::new();
    };
    let part = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let is_id = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        Some(prefix::Part {
            digest: is_id.then(|| prefix::digest(id.as_bytes()))?,
            tokens: tokens.parse().ok()?,
        })
    };
    let text = text.to_str().unwrap_or_default();
    let parts: Option<Vec<_>> = text.split(',').map(part).collect();
    prefix::condense(parts.unwrap_or_default())
}

/// The object's id from the cookie.
fn object(names: &names::HeaderNames, headers: &HeaderMap) -> Option<SmolStr> {
    let cookies = headers.get_all(header::COOKIE).into_iter();
    let cookies = cookies.filter_map(|value| value.to_str().ok());
    cookies.flat_map(|value| value.split(';')).find_map(|pair| {
        let (name, value) = pair.trim().split_once('=')?;
        (name == names.object_cookie).then(|| value.into())
    })
}

fn text(headers: &HeaderMap, name: &HeaderName) -> Result<Option<SmolStr>, error::Error> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value
        .to_str()
        .map_err(|_| bad(name, "must be plain text"))?;
    Ok(Some(text.into()))
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, error::Error> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    let number = text.trim().parse();
    number
        .map(Some)
        .map_err(|_| bad(name, "must be a whole number"))
}

fn bad(name: &HeaderName, why: &str) -> error::Error {
    error::Error::new(error::Kind::BadRequest, format!("`{name}` {why}"))
}

/// Removes hop-by-hop headers, including those named by the `Connection` header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named = headers.get_all(header::CONNECTION).into_iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named: Vec<HeaderName> = named
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// The header value for a number.
pub fn number_value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}
