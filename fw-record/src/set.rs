//! An immutable snapshot of all records at one revision of the store, with look-up indexes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use fw_base::digest;
use fw_base::id;
use fw_store::kv;
use fw_store::watch;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;

use crate::budget;
use crate::document;
use crate::document::Document;
use crate::document::Record;
use crate::envelope;
use crate::key;
use crate::route;
use crate::service;
use crate::team;

/// A record whose stored version cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The record.
    pub name: key::Name,
    /// Revision of the invalid version.
    pub revision: id::Revision,
    /// Why it is invalid.
    pub reason: String,
}

/// A version in force.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// Revision at which it was written.
    pub revision: id::Revision,
    /// The record.
    pub doc: Document,
}

/// All records at one revision. Immutable; clones share the data.
#[derive(Clone, Debug, Default)]
pub struct Set(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    revision: id::Revision,
    versions: BTreeMap<key::Name, Version>,
    problems: Vec<Problem>,
    index: Index,
}

#[derive(Debug, Default)]
struct Index {
    /// Service of each model.
    models: HashMap<id::ModelId, SmolStr>,
    /// Names of routes, the longest path first.
    routes: Vec<SmolStr>,
    /// Team of each key hash, in hex.
    keys: HashMap<String, id::TeamId>,
    /// Names of budgets, the most specific first.
    budgets: Vec<SmolStr>,
}

/// JSON form of the set, sent between processes.
#[derive(Serialize, Deserialize)]
struct WireSet {
    revision: id::Revision,
    records: Vec<WireRecord>,
    #[serde(default)]
    problems: Vec<Problem>,
}

#[derive(Serialize, Deserialize)]
struct WireRecord {
    #[serde(flatten)]
    name: key::Name,
    revision: id::Revision,
    record: Map<String, Value>,
}

/// The revision of the newest change among the keys below [`key::RECORDS`].
///
/// The store's global revision grows with every write to any key, so processes that read the same
/// records at different times would each take the other's set for newer. [`key::HEAD`] is written
/// with every change, deletions included.
pub fn revision_of(kvs: &[kv::Kv]) -> id::Revision {
    let revisions = kvs.iter().map(|kv| kv.mod_revision);
    revisions.max().unwrap_or(0)
}

impl Set {
    /// Builds a set from `kvs`, which must be all keys below [`key::RECORDS`] at `revision`.
    ///
    /// A record that cannot be parsed is left out and listed in [`Set::problems`].
    pub fn from_kvs(revision: id::Revision, kvs: &[kv::Kv]) -> Self {
        Self::default().with_records(revision, kvs)
    }

    /// Like [`Set::from_kvs`], but a record that cannot be parsed keeps its version in `self`.
    pub fn with_records(&self, revision: id::Revision, kvs: &[kv::Kv]) -> Self {
        let mut builder = Builder::default();
        for kv in kvs {
            builder.put(kv, self);
        }
        builder.finish(revision)
    }

    /// The set after the events that a watch of [`key::RECORDS`] delivered up to `revision`.
    pub fn with_events(&self, revision: id::Revision, events: &[watch::Event]) -> Self {
        let mut builder = Builder {
            versions: self.0.versions.clone(),
            problems: self.problems().to_vec(),
        };
        // A set received from a peer may be ahead of the watch.
        let is_new = |event: &&watch::Event| event.kv.mod_revision > self.revision();
        for event in events.iter().filter(is_new) {
            match event.kind {
                watch::EventKind::Put => builder.put(&event.kv, self),
                watch::EventKind::Delete => builder.delete(&event.kv.key),
            }
        }
        builder.finish(revision)
    }

    /// Builds a set from records with the revisions of their last writes.
    pub fn from_documents(revision: id::Revision, docs: Vec<(id::Revision, Document)>) -> Self {
        let versions = docs.into_iter().map(|(revision, doc)| {
            let name = doc.name().clone();
            (name, Version { revision, doc })
        });
        let builder = Builder {
            versions: versions.collect(),
            problems: Vec::new(),
        };
        builder.finish(revision)
    }

    /// The same set with `version` in force: an earlier version of a record whose stored one cannot
    /// be parsed.
    pub fn with_version(&self, version: Version) -> Self {
        let mut builder = Builder {
            versions: self.0.versions.clone(),
            problems: self.problems().to_vec(),
        };
        builder.versions.insert(version.doc.name().clone(), version);
        builder.finish(self.revision())
    }

    /// Serializes the set for another process.
    pub fn to_json(&self) -> String {
        let records = self.0.versions.values().map(|version| WireRecord {
            name: version.doc.name().clone(),
            revision: version.revision,
            record: version.doc.raw().clone(),
        });
        let wire = WireSet {
            revision: self.0.revision,
            records: records.collect(),
            problems: self.0.problems.clone(),
        };
        serde_json::to_string(&wire).expect("maps with text keys are valid JSON")
    }

    /// Parses the output of [`Set::to_json`].
    ///
    /// # Errors
    ///
    /// When the text as a whole has another shape. A single record that cannot be parsed, such as
    /// one that only a newer sender understands, is left out and listed in [`Set::problems`].
    pub fn from_json(text: &str) -> Result<Self, serde_json::Error> {
        let wire: WireSet = serde_json::from_str(text)?;
        let mut builder = Builder {
            problems: wire.problems,
            ..Builder::default()
        };
        for record in wire.records {
            let doc = Document::from_raw(record.name.clone(), record.record);
            builder.insert_or_keep(record.name, record.revision, doc, &Self::default());
        }
        Ok(builder.finish(wire.revision))
    }

    /// Revision of the newest change in the set; 0 for the empty initial set.
    pub fn revision(&self) -> id::Revision {
        self.0.revision
    }

    /// The version in force of a record.
    pub fn version(&self, name: &key::Name) -> Option<&Version> {
        self.0.versions.get(name)
    }

    /// All versions in force, ordered by kind and name.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.0.versions.values()
    }

    /// Records whose stored version cannot be parsed.
    pub fn problems(&self) -> &[Problem] {
        &self.0.problems
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &service::Service> {
        self.versions()
            .filter_map(|version| match version.doc.record() {
                Record::Service(service) => Some(service),
                _ => None,
            })
    }

    /// All teams.
    pub fn teams(&self) -> impl Iterator<Item = &team::Team> {
        self.versions()
            .filter_map(|version| match version.doc.record() {
                Record::Team(team) => Some(team),
                _ => None,
            })
    }

    /// A service by name.
    pub fn service(&self, name: &str) -> Option<&service::Service> {
        match self.record(key::Kind::Service, name)? {
            Record::Service(service) => Some(service),
            _ => None,
        }
    }

    /// A team by name.
    pub fn team(&self, name: &str) -> Option<&team::Team> {
        match self.record(key::Kind::Team, name)? {
            Record::Team(team) => Some(team),
            _ => None,
        }
    }

    /// The service that serves a model.
    pub fn service_for_model(&self, model: &str) -> Option<&service::Service> {
        self.service(self.0.index.models.get(model)?)
    }

    /// All models served by any service, in no particular order.
    pub fn models(&self) -> impl Iterator<Item = &id::ModelId> {
        self.0.index.models.keys()
    }

    /// The route with the longest path that covers `path`.
    pub fn route_for(&self, path: &str) -> Option<&route::Route> {
        let mut routes = self
            .0
            .index
            .routes
            .iter()
            .filter_map(|name| self.route(name));
        routes.find(|route| route.covers(path))
    }

    /// The team that owns a bearer key, by the key's BLAKE3 hash in hex.
    pub fn team_by_key(&self, hash: &str) -> Option<id::TeamId> {
        self.0.index.keys.get(hash).cloned()
    }

    /// Whether any team has keys, in which case callers must present one.
    pub fn has_keys(&self) -> bool {
        !self.0.index.keys.is_empty()
    }

    /// The budget of programs of `team` on `service`: the most specific one (by both, then by team,
    /// then by service, then by neither), and among equals the first by name.
    pub fn budget_for(&self, service: &str, team: &str) -> Option<&budget::Budget> {
        let names = self.0.index.budgets.iter();
        let mut budgets = names.filter_map(|name| self.budget(name));
        budgets.find(|budget| budget.covers(service, team))
    }

    fn record(&self, kind: key::Kind, name: &str) -> Option<&Record> {
        let version = self.version(&key::Name::new(kind, name))?;
        Some(version.doc.record())
    }

    fn route(&self, name: &str) -> Option<&route::Route> {
        match self.record(key::Kind::Route, name)? {
            Record::Route(route) => Some(route),
            _ => None,
        }
    }

    fn budget(&self, name: &str) -> Option<&budget::Budget> {
        match self.record(key::Kind::Budget, name)? {
            Record::Budget(budget) => Some(budget),
            _ => None,
        }
    }
}

/// Builds a [`Set`].
#[derive(Default)]
struct Builder {
    versions: BTreeMap<key::Name, Version>,
    problems: Vec<Problem>,
}

impl Builder {
    fn put(&mut self, kv: &kv::Kv, previous: &Set) {
        // Other keys below the prefix, such as the head, are not records.
        let Some(name) = key::Name::from_key(&kv.key) else {
            return;
        };
        let doc = envelope::Envelope::document(name.clone(), &kv.value);
        self.insert_or_keep(name, kv.mod_revision, doc, previous);
    }

    /// Inserts a version, or keeps the last valid one if it cannot be parsed.
    ///
    /// Otherwise one invalid record would fail the whole set, or silently drop a working service:
    /// its callers would be refused although nothing that they use has changed.
    fn insert_or_keep(
        &mut self,
        name: key::Name,
        revision: id::Revision,
        doc: Result<Document, document::Error>,
        previous: &Set,
    ) {
        self.problems.retain(|problem| problem.name != name);
        match doc {
            Ok(doc) => {
                self.versions.insert(name, Version { revision, doc });
            }
            Err(err) => {
                if let Some(good) = previous.version(&name) {
                    self.versions.insert(name.clone(), good.clone());
                }
                let reason = err.to_string();
                self.problems.push(Problem {
                    name,
                    revision,
                    reason,
                });
            }
        }
    }

    fn delete(&mut self, key: &str) {
        let Some(name) = key::Name::from_key(key) else {
            return;
        };
        self.problems.retain(|problem| problem.name != name);
        self.versions.remove(&name);
    }

    fn finish(self, revision: id::Revision) -> Set {
        let index = Index::new(&self.versions);
        Set(Arc::new(Inner {
            revision,
            versions: self.versions,
            problems: self.problems,
            index,
        }))
    }
}

impl Index {
    /// Builds the indexes. If two records claim the same model or key, the first by name gets it.
    fn new(versions: &BTreeMap<key::Name, Version>) -> Self {
        let mut index = Self::default();
        let mut routes = Vec::new();
        let mut budgets = Vec::new();
        for version in versions.values() {
            match version.doc.record() {
                Record::Service(service) => index.add_service(service),
                Record::Team(team) => index.add_team(team),
                Record::Route(route) => routes.push(route),
                Record::Budget(budget) => budgets.push(budget),
            }
        }
        // Both sorts are stable and the versions are ordered by name, so ties go to the first name.
        routes.sort_by_key(|route| std::cmp::Reverse(route.path.len()));
        budgets.sort_by_key(|budget| std::cmp::Reverse(budget.specificity()));
        index.routes = routes.into_iter().map(|r| r.name.clone()).collect();
        index.budgets = budgets.into_iter().map(|b| b.name.clone()).collect();
        index
    }

    fn add_service(&mut self, service: &service::Service) {
        for model in &service.models {
            let entry = self.models.entry(model.clone());
            entry.or_insert_with(|| service.name.clone());
        }
    }

    fn add_team(&mut self, team: &team::Team) {
        for hash in &team.key_hashes {
            let entry = self.keys.entry(hex(*hash));
            entry.or_insert_with(|| team.name.clone());
        }
    }
}

fn hex(digest: digest::Digest) -> String {
    digest.into()
}
