//! Client of an entry's admin address.

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

/// Where an entry answers operators unless its settings say otherwise.
pub const DEFAULT_ENTRY: &str = "127.0.0.1:9180";

/// Longest wait for an answer. Exceeds the time in which an entry finds out what became of a
/// write whose answer the store lost.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Why a request failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The entry did not answer.
    #[snafu(display("entry {entry}: {source}"))]
    Call {
        /// Its address.
        entry: String,
        /// What the client saw.
        source: fw_http::Error,
    },
    /// The request could not be built.
    #[snafu(display("`{entry}` is no address of an entry, such as `{DEFAULT_ENTRY}`: {source}"))]
    Address {
        /// What was given.
        entry: String,
        /// What is wrong with it.
        source: http::Error,
    },
    /// The entry refused the request.
    #[snafu(display("{}", refusal.error.message))]
    Refused {
        /// Its answer.
        refusal: Box<Refusal>,
    },
    /// The answer is not as expected.
    #[snafu(display("entry {entry} answered {status} with something unexpected: {source}"))]
    Malformed {
        /// Its address.
        entry: String,
        /// HTTP status.
        status: u16,
        /// What the parser saw.
        source: serde_json::Error,
    },
}

impl Error {
    /// Whether a change may have been accepted although the request failed.
    pub fn may_have_applied(&self) -> bool {
        match self {
            Self::Call { source, .. } => !source.is_unsent(),
            Self::Address { .. } => false,
            Self::Refused { refusal } => refusal.error.ran != "no",
            Self::Malformed { .. } => true,
        }
    }
}

/// An error as entries answer it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Refusal {
    /// The error.
    pub error: ErrorFields,
    /// Of a conflict: the record that was to be stored.
    #[serde(default)]
    pub yours: Option<Map<String, Value>>,
    /// Of a conflict: the record that is stored.
    #[serde(default)]
    pub theirs: Option<write::Stored>,
}

/// What an error says.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct ErrorFields {
    /// Label of the kind.
    pub kind: String,
    /// One sentence.
    pub message: String,
    /// `no`, `maybe` or `yes`.
    pub ran: String,
}

/// Where records of a revision are in force.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct InForce {
    /// Processes in which they are.
    pub in_force: usize,
    /// All processes.
    pub of: usize,
    /// Those in which they are not yet.
    pub waiting: Vec<String>,
}

/// A program as an entry lists it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Program {
    /// Its id.
    pub id: SmolStr,
    /// How it stands.
    pub status: SmolStr,
    /// Turns committed.
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
    /// The decisions at the entry that was asked, oldest first.
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
    /// Why.
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
    /// A client of the entry whose admin address is `entry`, as `ip:port`.
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

    /// All records.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn records(&self) -> Result<Vec<write::Stored>, Error> {
        let answer: Records = self.get("/admin/records").await?;
        Ok(answer.records)
    }

    /// One record.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn record(&self, name: &key::Name) -> Result<write::Stored, Error> {
        self.get(&format!("/admin/records/{name}")).await
    }

    /// The replaced versions of a record, oldest first.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn history(&self, name: &key::Name) -> Result<Vec<write::Stored>, Error> {
        let path = format!("/admin/records/{name}/history");
        let answer: Versions = self.get(&path).await?;
        Ok(answer.versions)
    }

    /// Stores a record in place of the version written at `expected`, or where there is none
    /// if that is 0.
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

    /// Deletes the version of a record that was written at `expected`.
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

    /// Where records of `revision` are in force.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn in_force(&self, revision: id::Revision) -> Result<InForce, Error> {
        self.get(&format!("/admin/inforce?revision={revision}"))
            .await
    }

    /// The programs that the entry keeps.
    ///
    /// # Errors
    ///
    /// When the entry does not answer or refuses.
    pub async fn programs(&self) -> Result<Programs, Error> {
        self.get("/admin/programs").await
    }

    /// The decisions about a program.
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
