//! Handles operators' requests about records, independently of the HTTP library.

use fw_base::error;
use fw_store::client::Client;
use serde_json::Value;
use serde_json::json;

use crate::key;
use crate::write;

/// Counter of refused requests, by error kind.
pub const REFUSALS: &str = "fw_record_refusals_total";

/// A request below `/admin/records`.
#[derive(Clone, Debug, Default)]
pub struct Request<'a> {
    /// The method in upper case.
    pub method: &'a str,
    /// The path after `/admin/records`: empty, `/{kind}/{name}` or `/{kind}/{name}/history`.
    pub path: &'a str,
    /// The query string without `?`; changes require `revision=N`.
    pub query: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: Value,
}

/// Handles a request.
pub async fn handle(client: &Client, req: Request<'_>, opts: &write::Options) -> Response {
    match dispatch(client, req, opts).await {
        Ok(body) => Response { status: 200, body },
        Err(refusal) => refusal.answer(),
    }
}

enum Refusal {
    Write(Box<write::Error>),
    Request(String),
}

impl From<write::Error> for Refusal {
    fn from(err: write::Error) -> Self {
        Self::Write(Box::new(err))
    }
}

async fn dispatch(
    client: &Client,
    req: Request<'_>,
    opts: &write::Options,
) -> Result<Value, Refusal> {
    let path = req.path.trim_matches('/');
    let parts: Vec<_> = path.split('/').filter(|part| !part.is_empty()).collect();
    match (req.method, parts.as_slice()) {
        ("GET", []) => Ok(json!({ "records": write::list(client).await? })),
        ("GET", [kind, name]) => Ok(json!(write::get(client, &parse(kind, name)?).await?)),
        ("GET", [kind, name, "history"]) => {
            let versions = write::history(client, &parse(kind, name)?).await?;
            Ok(json!({ "versions": versions }))
        }
        ("PUT", [kind, name]) => {
            let name = parse(kind, name)?;
            let expected = revision(req.query)?;
            Ok(json!(
                write::put(client, &name, req.body, expected, opts).await?
            ))
        }
        ("DELETE", [kind, name]) => {
            let name = parse(kind, name)?;
            let expected = revision(req.query)?;
            Ok(json!(write::delete(client, &name, expected, opts).await?))
        }
        _ => Err(Refusal::Request(format!(
            "{} {path}: use GET on records, GET, PUT or DELETE on records/{{kind}}/{{name}}, \
             or GET on records/{{kind}}/{{name}}/history",
            req.method
        ))),
    }
}

fn parse(kind: &str, name: &str) -> Result<key::Name, Refusal> {
    key::Name::parse(kind, name).map_err(Refusal::Request)
}

fn revision(query: &str) -> Result<i64, Refusal> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(name, _)| *name == "revision");
    let revision = value.and_then(|(_, value)| value.parse().ok());
    revision.filter(|revision| *revision >= 0).ok_or_else(|| {
        Refusal::Request(
            "query `revision` must be the revision of the version to replace, or 0 if the \
             record must not exist yet"
                .to_owned(),
        )
    })
}

impl Refusal {
    fn answer(self) -> Response {
        match self {
            Self::Request(message) => {
                let err = error::Error::new(error::Kind::BadRequest, message);
                answer(&err, json!({}))
            }
            Self::Write(err) => {
                let shown = error::Error::new(err.kind(), err.to_string());
                answer(&shown, conflict_versions(*err))
            }
        }
    }
}

/// Both versions of a conflict, as fields of the response.
fn conflict_versions(err: write::Error) -> Value {
    match err {
        write::Error::Conflict { yours, theirs, .. } => {
            json!({ "yours": yours, "theirs": theirs })
        }
        _ => json!({}),
    }
}

fn answer(err: &error::Error, mut body: Value) -> Response {
    let row = err.kind.row();
    metrics::counter!(REFUSALS, "kind" => row.label).increment(1);
    body["error"] = json!({ "kind": row.label, "message": err.message, "ran": row.ran });
    Response {
        status: row.status,
        body,
    }
}
