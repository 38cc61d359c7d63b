//! HTTP client of an entry's admin API.

use std::time::Duration;

use bytes::Bytes;
use fw_base::id;
use fw_record::key;
use fw_record::write;
use http_body_util::Full;
use hyper::http;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::ResultExt;
use snafu::Snafu;

/// Default admin address of an entry.
pub const DEFAULT_ENTRY: &str = "127.0.0.1:9180";

/// Timeout of a request. Longer than an entry needs to determine whether a write was applied after
/// the store's answer to it was lost.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The entry did not answer.
    #[snafu(display("entry {entry}: {source}"))]
    Call {
        /// Its address.
        entry: String,
        /// The HTTP client's error.
        source: fw_http::Error,
    },
    /// The request could not be built.
    #[snafu(display("`{entry}` is not an entry's address, such as `{DEFAULT_ENTRY}`: {source}"))]
    Address {
        /// The address as given.
        entry: String,
        /// The error of the request builder.
        source: http::Error,
    },
    /// The entry refused the request.
    #[snafu(display("{}", refusal.error.message))]
    Refused {
        /// Its answer.
        refusal: Box<Refusal>,
    },
    /// The answer has an unexpected form.
    #[snafu(display("entry {entry} answered {status} with an unexpected body: {source}"))]
    Malformed {
        /// Its address.
        entry: String,
        /// HTTP status.
        status: u16,
        /// The parser's error.
        source: serde_json::Error,
    },
}

impl Error {
    /// Returns whether a change may have been accepted although the request failed.
    pub fn may_have_applied(&self) -> bool {
        match self {
            Self::Call { source, .. } => !source.is_unsent(),
            Self::Address { .. } => false,
            Self::Refused { refusal } => refusal.error.ran != "no",
            Self::Malformed { .. } => true,
        }
    }
}

/// Body of an error response of an entry.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Refusal {
    /// The error.
    pub error: ErrorFields,
    /// For a conflict: the record in the request.
    #[serde(default)]
    pub yours: Option<Map<String, Value>>,
    /// For a conflict: the stored record.
    #[serde(default)]
    pub theirs: Option<write::Stored>,
}

/// Fields of an error.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ErrorFields {
    /// Label of the error kind.
    pub kind: String,
    /// Message, one sentence.
    pub message: String,
    /// Whether the request was executed: `no`, `maybe` or `yes`.
    pub ran: String,
}

/// In how many processes records of a revision are in force.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct InForce {
    /// Number of processes in which they are in force.
    pub in_force: usize,
    /// Number of listed processes.
    pub of: usize,
    /// Names of the processes in which they are not in force yet.
    pub waiting: Vec<String>,
}

/// A program as an entry lists it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Program {
    /// Program id.
    pub id: SmolStr,
    /// Status label, such as `idle`.
    pub status: SmolStr,
    /// Number of committed turns.
    pub turn: id::Turn,
    /// Tokens spent.
    pub tokens: id::Tokens,
    /// The team it belongs to.
    pub team: id::TeamId,
}

/// Programs that an entry keeps.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Programs {
    /// The programs.
    pub programs: Vec<Program>,
}

/// Decisions about a program.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Explanation {
    /// Which entry keeps the program.
    pub keeper: String,
    /// The decisions made by the queried entry, oldest first.
    pub events: Vec<Event>,
}

/// One decision.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Milliseconds since the entry started.
    pub at_ms: u64,
    /// What was decided.
    pub what: String,
    /// Reason for the decision.
    pub why: String,
}

#[derive(Deserialize)]
struct Records {
    records: Vec<write::Stored>,
}

#[derive(Deserialize)]
struct Versions {
    versions: Vec<write::Stored>,
}

/// A client of one entry.
#[derive(Clone, Debug)]
pub struct Client {
    entry: String,
    http: fw_http::Client,
}

impl Client {
    /// Creates a client of the entry whose admin address is `entry`, as `ip:port`.
    pub fn new(entry: impl Into<String>) -> Self {
        let opts = fw_http::Options {
            head_timeout: TIMEOUT,
            body_timeout: TIMEOUT,
            ..fw_http::Options::default()
        };
        Self {
            entry: entry.into(),
            http: fw_http::Client::new(opts),
        }
    }

    /// Fetches all records.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn records(&self) -> Result<Vec<write::Stored>, Error> {
        let answer: Records = self.get("/admin/records").await?;
        Ok(answer.records)
    }

    /// Fetches one record.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn record(&self, name: &key::Name) -> Result<write::Stored, Error> {
        self.get(&format!("/admin/records/{name}")).await
    }

    /// Fetches the replaced versions of a record, oldest first.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn history(&self, name: &key::Name) -> Result<Vec<write::Stored>, Error> {
        let path = format!("/admin/records/{name}/history");
        let answer: Versions = self.get(&path).await?;
        Ok(answer.versions)
    }

    /// Stores a record. Replaces the version written at revision `expected`; if `expected` is 0,
    /// the record must not exist yet.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses; see [`Error::may_have_applied`].
    pub async fn put(
        &self,
        name: &key::Name,
        record: &Map<String, Value>,
        expected: id::Revision,
    ) -> Result<write::Accepted, Error> {
        let body = serde_json::to_vec(record).expect("maps with text keys are valid JSON");
        self.change(http::Method::PUT, name, expected, body.into())
            .await
    }

    /// Deletes a record whose present version was written at revision `expected`.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses; see [`Error::may_have_applied`].
    pub async fn delete(
        &self,
        name: &key::Name,
        expected: id::Revision,
    ) -> Result<write::Accepted, Error> {
        self.change(http::Method::DELETE, name, expected, Bytes::new())
            .await
    }

    /// Fetches in how many processes records of `revision` are in force.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn in_force(&self, revision: id::Revision) -> Result<InForce, Error> {
        self.get(&format!("/admin/inforce?revision={revision}"))
            .await
    }

    /// Fetches the programs that the entry keeps.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn programs(&self) -> Result<Programs, Error> {
        self.get("/admin/programs").await
    }

    /// Fetches the decisions about a program.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn explain(&self, program: &str) -> Result<Explanation, Error> {
        self.get(&format!("/admin/explain/{program}")).await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(http::Method::GET, path, Bytes::new()).await
    }

    async fn change(
        &self,
        method: http::Method,
        name: &key::Name,
        expected: id::Revision,
        body: Bytes,
    ) -> Result<write::Accepted, Error> {
        let path = format!("/admin/records/{name}?revision={expected}");
        self.call(method, &path, body).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let entry = &self.entry;
        let req = http::Request::builder()
            .method(method)
            .uri(format!("http://{entry}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .context(AddressSnafu { entry })?;
        let answer = self.http.call(req).await.context(CallSnafu { entry })?;
        let status = answer.status.as_u16();
        let malformed = MalformedSnafu { entry, status };
        if !answer.status.is_success() {
            let refusal: Box<Refusal> = serde_json::from_slice(&answer.body).context(malformed)?;
            return RefusedSnafu { refusal }.fail();
        }
        serde_json::from_slice(&answer.body).context(malformed)
    }
}
