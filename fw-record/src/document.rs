//! One record: its raw JSON with every field, and the typed record parsed from it.

use fw_base::error;
use serde_json::Map;
use serde_json::Value;
use snafu::ResultExt;
use snafu::Snafu;

use crate::budget;
use crate::field;
use crate::key;
use crate::route;
use crate::schema;
use crate::schema::Schema;
use crate::service;
use crate::team;

/// Largest record, in bytes of JSON.
pub const MAX_SIZE: usize = 64 << 10;

/// A parsed record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A service.
    Service(service::Service),
    /// A route.
    Route(route::Route),
    /// A team.
    Team(team::Team),
    /// A budget.
    Budget(budget::Budget),
}

/// A parsed record with its raw JSON, so that a rewrite preserves unknown fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    name: key::Name,
    schema: Schema,
    raw: Map<String, Value>,
    record: Record,
}

/// Why a record is not accepted.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is not JSON.
    #[snafu(display("the record is not valid JSON: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// It is not a JSON object.
    #[snafu(display("the record must be a JSON object"))]
    NotObject,
    /// It is too large.
    #[snafu(display("the record has {size} bytes, at most {MAX_SIZE} are accepted"))]
    TooLarge {
        /// Its size.
        size: usize,
    },
    /// A field is invalid.
    #[snafu(transparent)]
    Field {
        /// The field and the reason.
        source: field::Error,
    },
}

impl From<Error> for error::Error {
    fn from(err: Error) -> Self {
        Self::new(error::Kind::BadRecord, err.to_string())
    }
}

impl Document {
    /// Parses a stored record of any schema version.
    ///
    /// # Errors
    ///
    /// When it is not a JSON object, or a field that the system reads is invalid.
    pub fn parse(name: key::Name, json: &[u8]) -> Result<Self, Error> {
        Self::from_raw(name, parse_object(json)?)
    }

    /// Like [`Document::parse`], from a JSON object that is parsed already.
    ///
    /// # Errors
    ///
    /// When a field that the system reads is invalid.
    pub fn from_raw(name: key::Name, raw: Map<String, Value>) -> Result<Self, Error> {
        Self::read_as(Schema::V2, name, raw)
    }

    /// Like [`Document::from_raw`], for a reader that supports no schema version above `newest`.
    ///
    /// # Errors
    ///
    /// When a field that the reader knows is invalid.
    pub fn read_as(
        newest: Schema,
        name: key::Name,
        raw: Map<String, Value>,
    ) -> Result<Self, Error> {
        let schema = Schema::of(&raw)?.min(newest);
        let reader = field::Reader { map: &raw, schema };
        let own = name.name.as_str();
        let record = match name.kind {
            key::Kind::Service => service::Service::read(own, &reader).map(Record::Service),
            key::Kind::Route => route::Route::read(own, &reader).map(Record::Route),
            key::Kind::Team => team::Team::read(own, &reader).map(Record::Team),
            key::Kind::Budget => budget::Budget::read(own, &reader).map(Record::Budget),
        };
        Ok(Self {
            record: record?,
            name,
            schema,
            raw,
        })
    }

    /// Parses a record submitted by an operator, with stricter checks than [`Document::parse`], and
    /// makes it readable in both schema versions.
    ///
    /// # Errors
    ///
    /// As [`Document::parse`], and also when it is too large, of an unknown version, or a record of
    /// version 2 has a field of version 1, which would have no effect there.
    pub fn from_operator(name: key::Name, json: &[u8]) -> Result<Self, Error> {
        let size = json.len();
        if size > MAX_SIZE {
            return Err(Error::TooLarge { size });
        }
        let raw = parse_object(json)?;
        let number = raw.get(schema::FIELD);
        if !matches!(number.and_then(Value::as_u64), Some(1 | 2)) {
            return Err(field::Error::new(schema::FIELD, "1 or 2", number).into());
        }
        let fields = fields(name.kind);
        let mut doc = Self::from_raw(name, raw)?;
        if doc.schema == Schema::V2 {
            if let Some(field) = schema::misplaced(&doc.raw, fields) {
                return Err(misplaced(field, &doc.raw).into());
            }
            schema::add_v1(&mut doc.raw, fields);
        }
        Ok(doc)
    }

    /// The record's kind and name.
    pub fn name(&self) -> &key::Name {
        &self.name
    }

    /// The schema version that it is read as.
    pub fn schema(&self) -> Schema {
        self.schema
    }

    /// The parsed record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Every field as stored, including those of the other version and unknown ones.
    pub fn raw(&self) -> &Map<String, Value> {
        &self.raw
    }

    /// The fields as operators see and edit them, without those of the other schema version.
    pub fn operator_fields(&self) -> Map<String, Value> {
        let mut shown = self.raw.clone();
        schema::strip(&mut shown, fields(self.name.kind), self.schema);
        shown
    }

    /// The record in the newest schema version, readable in both, with all unknown fields.
    pub fn upgraded(&self) -> Self {
        let fields = fields(self.name.kind);
        let mut raw = self.raw.clone();
        if self.schema == Schema::V1 {
            schema::upgrade(&mut raw, fields);
            schema::add_v1(&mut raw, fields);
        }
        Self {
            schema: Schema::V2,
            raw,
            ..self.clone()
        }
    }

    /// Names of fields that no schema version defines. They are preserved, and may be misspelled.
    pub fn unknown_fields(&self) -> Vec<String> {
        schema::unknown_fields(&self.raw, fields(self.name.kind))
    }
}

/// The fields of a kind of record.
pub fn fields(kind: key::Kind) -> &'static [schema::Field] {
    match kind {
        key::Kind::Service => service::FIELDS,
        key::Kind::Route => route::FIELDS,
        key::Kind::Team => team::FIELDS,
        key::Kind::Budget => budget::FIELDS,
    }
}

fn parse_object(json: &[u8]) -> Result<Map<String, Value>, Error> {
    match serde_json::from_slice(json).context(JsonSnafu)? {
        Value::Object(map) => Ok(map),
        _ => Err(Error::NotObject),
    }
}

fn misplaced(field: &schema::Field, raw: &Map<String, Value>) -> field::Error {
    let v1 = field.name(Schema::V1);
    let v2 = field.name(Schema::V2);
    let expected = format!("left out of a record of schema 2, which has `{v2}` in its place");
    field::Error::new(v1.as_str(), expected, raw.get(&v1))
}
