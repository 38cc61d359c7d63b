//! Changes records by compare-and-swap, safe against lost responses and concurrent writers.
//!
//! A change is accepted when its transaction commits. The transaction compares the revision that
//! the writer expects, writes the record and [`key::HEAD`], and moves the replaced version into the
//! history together with the writer's nonce. After a lost response the nonce shows whether the
//! change took effect, even if another writer has replaced it since.

use std::time::Duration;

use fw_base::error;
use fw_base::id;
use fw_store::client::Client;
use fw_store::kv;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

use crate::document;
use crate::envelope;
use crate::key;

/// Options of a change.
#[derive(Clone, Debug)]
pub struct Options {
    /// Most versions kept in a record's history.
    pub max_versions: usize,
    /// Most attempts to resolve a change whose response was lost or whose comparison failed.
    pub max_attempts: u32,
    /// Delay before an attempt that follows a failed call to the store.
    pub retry_delay: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_versions: 10,
            max_attempts: 20,
            retry_delay: Duration::from_millis(250),
        }
    }
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The store revision of the change. It is in force in every process whose record set has this
    /// revision or a higher one.
    pub revision: id::Revision,
    /// Names of fields that no schema version defines. They are preserved, and may be misspelled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unknown: Vec<String>,
}

/// A stored record, with the revision to compare with in the next change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Stored {
    /// Kind and name.
    #[serde(flatten)]
    pub name: key::Name,
    /// Revision at which it was written.
    pub revision: id::Revision,
    /// Its fields, as operators edit them.
    pub record: Map<String, Value>,
    /// Why it cannot be parsed, if so.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<String>,
}

/// Why a change or a read failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The record is invalid.
    #[snafu(transparent)]
    Invalid {
        /// The reason.
        source: document::Error,
    },
    /// There is no such record.
    #[snafu(display("there is no record {name}"))]
    NotFound {
        /// Its name.
        name: key::Name,
    },
    /// Another writer changed the record.
    #[snafu(display(
        "record {name} was changed by someone else{}",
        revision_suffix(theirs.as_deref())
    ))]
    Conflict {
        /// The record.
        name: key::Name,
        /// The version to store; `None` for a deletion.
        yours: Option<Map<String, Value>>,
        /// The stored version; `None` if it was deleted or never existed.
        theirs: Option<Box<Stored>>,
    },
    /// The call to the store failed and changed nothing.
    #[snafu(display("{source}"))]
    Store {
        /// The store's error.
        source: fw_store::error::Error,
    },
    /// The store's response was lost, and reading back did not show whether the change took effect.
    #[snafu(display(
        "the change of {name} may have taken effect: the store's response was lost ({source}); \
         read the record and compare before repeating the change"
    ))]
    InDoubt {
        /// The record.
        name: key::Name,
        /// The last failure.
        source: fw_store::error::Error,
    },
    /// The record has since been replaced so often that its history no longer shows whether the
    /// change took effect, or each attempt to commit it lost to another writer.
    #[snafu(display(
        "the change of {name} may have taken effect: the store's response was lost and the record \
         has been replaced many times since; check its history"
    ))]
    HistoryTruncated {
        /// The record.
        name: key::Name,
    },
}

/// Result of this module's functions.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// The error kind reported to operators.
    pub fn kind(&self) -> error::Kind {
        match self {
            Self::Invalid { .. } => error::Kind::BadRecord,
            Self::NotFound { .. } => error::Kind::UnknownRecord,
            Self::Conflict { .. } => error::Kind::RecordConflict,
            Self::Store { source } => source.kind(),
            Self::InDoubt { .. } | Self::HistoryTruncated { .. } => error::Kind::MayHaveRun,
        }
    }
}

impl From<Error> for error::Error {
    fn from(err: Error) -> Self {
        Self::new(err.kind(), err.to_string())
    }
}

fn revision_suffix(theirs: Option<&Stored>) -> String {
    match theirs {
        Some(theirs) => format!(", at revision {}", theirs.revision),
        None => ": it does not exist".to_owned(),
    }
}

/// Stores a record. `expected` is the revision of the version that it replaces, or 0 if the record
/// must not exist yet.
///
/// # Errors
///
/// When the record is invalid, another writer changed it, or the store does not answer.
pub async fn put(
    client: &Client,
    name: &key::Name,
    json: &[u8],
    expected: id::Revision,
    opts: &Options,
) -> Result<Accepted> {
    let doc = document::Document::from_operator(name.clone(), json)?;
    let unknown = doc.unknown_fields();
    let change = Change::new(name, Some(doc), expected);
    let revision = change.run(client, opts).await?;
    Ok(Accepted { revision, unknown })
}

/// Deletes a record. `expected` is the revision of the version to delete.
///
/// # Errors
///
/// When there is no such record, another writer changed it, or the store does not answer.
pub async fn delete(
    client: &Client,
    name: &key::Name,
    expected: id::Revision,
    opts: &Options,
) -> Result<Accepted> {
    let change = Change::new(name, None, expected);
    let revision = change.run(client, opts).await?;
    Ok(Accepted {
        revision,
        unknown: Vec::new(),
    })
}

/// Reads one record.
///
/// # Errors
///
/// When there is no such record, or the store does not answer.
pub async fn get(client: &Client, name: &key::Name) -> Result<Stored> {
    let found = client.range(&kv::Range::one(name.key())).await;
    let found = found.context(StoreSnafu)?.kvs.pop();
    let kv = found.ok_or_else(|| Error::NotFound { name: name.clone() })?;
    Ok(stored(name, kv.mod_revision, &kv.value))
}

/// Reads all records, ordered by kind and name.
///
/// # Errors
///
/// When the store does not answer.
pub async fn list(client: &Client) -> Result<Vec<Stored>> {
    let found = client.range(&kv::Range::prefix(key::RECORDS)).await;
    let kvs = found.context(StoreSnafu)?.kvs;
    let records = kvs.iter().filter_map(|kv| {
        let name = key::Name::from_key(&kv.key)?;
        Some(stored(&name, kv.mod_revision, &kv.value))
    });
    Ok(records.collect())
}

/// Reads the replaced versions of a record, oldest first. A deleted record keeps its history.
///
/// # Errors
///
/// When the store does not answer.
pub async fn history(client: &Client, name: &key::Name) -> Result<Vec<Stored>> {
    let found = client.range(&kv::Range::prefix(name.history())).await;
    let kvs = found.context(StoreSnafu)?.kvs;
    let versions = kvs.iter().filter_map(|kv| {
        let revision = name.history_revision(&kv.key)?;
        Some(stored(name, revision, &kv.value))
    });
    Ok(versions.collect())
}

fn stored(name: &key::Name, revision: id::Revision, value: &[u8]) -> Stored {
    let (record, problem) = match envelope::Envelope::document(name.clone(), value) {
        Ok(doc) => (doc.operator_fields(), None),
        Err(err) => {
            let raw = envelope::Envelope::parse(value).unwrap_or_default();
            (raw.record, Some(err.to_string()))
        }
    };
    Stored {
        name: name.clone(),
        revision,
        record,
        problem,
    }
}

/// A change in progress.
struct Change<'a> {
    name: &'a key::Name,
    /// The new version; `None` to delete the record.
    doc: Option<document::Document>,
    expected: id::Revision,
    nonce: envelope::Nonce,
}

/// The record's current version and history at one revision of the store.
struct StoreState {
    current: Option<kv::Kv>,
    history: Vec<kv::Kv>,
}

/// Status of a change, as shown by one read of the store.
enum Status {
    /// It took effect at this revision.
    Applied(id::Revision),
    /// It has not taken effect, but still can.
    Pending(StoreState),
    /// It has not taken effect and no longer can: another version is in place.
    Superseded(StoreState),
    /// Unknown: the history does not reach back to the expected revision.
    HistoryTruncated,
}

impl<'a> Change<'a> {
    fn new(name: &'a key::Name, doc: Option<document::Document>, expected: id::Revision) -> Self {
        Self {
            name,
            doc,
            expected,
            nonce: format!("{:032x}", rand::random::<u128>()),
        }
    }

    async fn run(&self, client: &Client, opts: &Options) -> Result<id::Revision> {
        let state = self.read_state(client).await.context(StoreSnafu)?;
        if !self.is_current(&state) {
            return Err(self.conflict(state));
        }
        match self.submit(client, state, opts).await {
            Ok(Some(revision)) => Ok(revision),
            Ok(None) => self.resolve(client, opts, None).await,
            Err(err) if err.may_have_applied() => self.resolve(client, opts, Some(err)).await,
            Err(source) => Err(Error::Store { source }),
        }
    }

    /// Reads the store until the status of the change is clear, and repeats the transaction only if
    /// it has not taken effect.
    ///
    /// The first transaction may be delayed rather than lost, and commit after a read that did not
    /// find it. Repeating it is safe even then: both compare the same revision, so at most one of
    /// them commits, and both carry the same nonce, so either one counts as this change.
    async fn resolve(
        &self,
        client: &Client,
        opts: &Options,
        lost_answer: Option<fw_store::error::Error>,
    ) -> Result<id::Revision> {
        let answer_was_lost = lost_answer.is_some();
        let mut last_error = lost_answer;
        for _ in 0..opts.max_attempts {
            if last_error.is_some() {
                tokio::time::sleep(opts.retry_delay).await;
            }
            let outcome = match self.read_state(client).await {
                Ok(state) => match self.status(state, opts, answer_was_lost) {
                    Status::Applied(revision) => return Ok(revision),
                    Status::Superseded(state) => return Err(self.conflict(state)),
                    Status::HistoryTruncated => {
                        let name = self.name.clone();
                        return Err(Error::HistoryTruncated { name });
                    }
                    Status::Pending(state) => self.submit(client, state, opts).await,
                },
                Err(err) => Err(err),
            };
            match outcome {
                Ok(Some(revision)) => return Ok(revision),
                Ok(None) => last_error = None,
                Err(err) => last_error = Some(err),
            }
        }
        let name = self.name.clone();
        match last_error {
            Some(source) => Err(Error::InDoubt { name, source }),
            None => Err(Error::HistoryTruncated { name }),
        }
    }

    /// Reads the record and its history in one transaction.
    async fn read_state(&self, client: &Client) -> fw_store::error::Result<StoreState> {
        let read = kv::Txn {
            then: vec![
                kv::Op::get(self.name.key()),
                kv::Op::Get(kv::Range::prefix(self.name.history())),
            ],
            ..kv::Txn::default()
        };
        let kvs = client.txn(&read).await?.into_kvs();
        let key = self.name.key();
        let (current, history): (Vec<_>, Vec<_>) = kvs.into_iter().partition(|kv| kv.key == key);
        Ok(StoreState {
            current: current.into_iter().next(),
            history,
        })
    }

    /// Whether the stored version is still the one that the change replaces.
    fn is_current(&self, state: &StoreState) -> bool {
        let current = state.current.as_ref();
        current.map_or(0, |kv| kv.mod_revision) == self.expected
    }

    /// Submits the transaction and returns its revision; `None` if the comparison failed.
    async fn submit(
        &self,
        client: &Client,
        state: StoreState,
        opts: &Options,
    ) -> fw_store::error::Result<Option<id::Revision>> {
        let compare = kv::Compare::ModRevision(self.name.key(), self.expected);
        let txn = kv::Txn {
            compares: vec![compare],
            then: self.operations(&state, opts),
            ..kv::Txn::default()
        };
        let outcome = client.txn(&txn).await?;
        Ok(outcome.succeeded.then_some(outcome.revision))
    }

    fn operations(&self, state: &StoreState, opts: &Options) -> Vec<kv::Op> {
        let mut operations = vec![
            self.record_operation(),
            kv::Op::put(key::HEAD, self.nonce.as_str()),
        ];
        if let Some(current) = &state.current {
            operations.push(self.archive_operation(current));
        }
        let archived = usize::from(state.current.is_some());
        let excess = (state.history.len() + archived).saturating_sub(opts.max_versions);
        let oldest = state.history.iter().take(excess);
        operations.extend(oldest.map(|kv| kv::Op::delete(kv.key.as_str())));
        operations
    }

    fn record_operation(&self) -> kv::Op {
        let key = self.name.key();
        match &self.doc {
            None => kv::Op::delete(key),
            Some(doc) => {
                let envelope = envelope::Envelope {
                    record: doc.raw().clone(),
                    nonce: self.nonce.clone(),
                    ..envelope::Envelope::default()
                };
                kv::Op::put(key, envelope.to_bytes())
            }
        }
    }

    fn archive_operation(&self, current: &kv::Kv) -> kv::Op {
        let key = self.name.history_at(self.expected);
        let envelope = envelope::Envelope::parse(&current.value).unwrap_or_default();
        let archived = envelope::Envelope {
            replaced_by: self.nonce.clone(),
            ..envelope
        };
        kv::Op::put(key, archived.to_bytes())
    }

    fn status(&self, state: StoreState, opts: &Options, answer_was_lost: bool) -> Status {
        if let Some(revision) = self.applied_at(&state) {
            return Status::Applied(revision);
        }
        if self.is_current(&state) {
            return Status::Pending(state);
        }
        let mut revisions = state
            .history
            .iter()
            .filter_map(|kv| self.name.history_revision(&kv.key));
        let reaches_expected = revisions
            .next()
            .is_none_or(|oldest| oldest <= self.expected);
        if answer_was_lost && state.history.len() >= opts.max_versions && !reaches_expected {
            return Status::HistoryTruncated;
        }
        Status::Superseded(state)
    }

    /// The revision of this change, if the record or its history carries its nonce.
    fn applied_at(&self, state: &StoreState) -> Option<id::Revision> {
        let current = state.current.as_ref();
        if let Some(kv) = current.filter(|kv| nonces(kv).0 == self.nonce) {
            return Some(kv.mod_revision);
        }
        state.history.iter().find_map(|kv| {
            let (stored_by, replaced_by) = nonces(kv);
            if stored_by == self.nonce {
                return self.name.history_revision(&kv.key);
            }
            // The same transaction archived the replaced version, so the revisions are equal.
            (replaced_by == self.nonce).then_some(kv.mod_revision)
        })
    }

    fn conflict(&self, state: StoreState) -> Error {
        let name = self.name.clone();
        let theirs = state.current;
        if theirs.is_none() && self.doc.is_none() {
            return Error::NotFound { name };
        }
        let theirs = theirs.map(|kv| Box::new(stored(&name, kv.mod_revision, &kv.value)));
        Error::Conflict {
            yours: self.doc.as_ref().map(document::Document::operator_fields),
            theirs,
            name,
        }
    }
}

/// Nonces of the write that stored a version and of the one that replaced it.
fn nonces(kv: &kv::Kv) -> (envelope::Nonce, envelope::Nonce) {
    let envelope = envelope::Envelope::parse(&kv.value).unwrap_or_default();
    (envelope.nonce, envelope.replaced_by)
}
