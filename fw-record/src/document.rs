//! One record: its JSON with every field, beside what the system reads of it.

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

/// What the system reads of a record.
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

/// A record with its raw fields, so that a rewrite loses none.
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
        /// What the parser saw.
        source: serde_json::Error,
    },
    /// It is no JSON object.
    #[snafu(display("the record must be a JSON object"))]
    NotObject,
    /// It is too large.
    #[snafu(display("the record has {size} bytes, at most {MAX_SIZE} are accepted"))]
    TooLarge {
        /// Its size.
        size: usize,
    },
    /// A field is refused.
    #[snafu(transparent)]
    Field {
        /// Which and why.
        source: field::Error,
    },
}

impl From<Error> for error::Error {
    fn from(err: Error) -> Self {
        Self::new(error::Kind::BadRecord, err.to_string())
    }
}

impl Document {
    /// Reads a record as it is stored, whichever version wrote it.
    ///
    /// # Errors
    ///
    /// When it is no JSON object, or a field that the system reads is refused.
    pub fn parse(name: key::Name, json: &[u8]) -> Result<Self, Error> {
        Self::from_raw(name, parse_object(json)?)
    }

    /// As [`Document::parse`], from JSON that is read already.
    ///
    /// # Errors
    ///
    /// When a field that the system reads is refused.
    pub fn from_raw(name: key::Name, raw: Map<String, Value>) -> Result<Self, Error> {
        Self::read_as(Schema::V2, name, raw)
    }

    /// As [`Document::from_raw`], for a reader that knows no version after `newest`.
    ///
    /// # Errors
    ///
    /// When a field that the reader knows is refused.
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

    /// Reads a record that an operator wants to store, with stricter checks than
    /// [`Document::parse`], and makes it readable to both versions.
    ///
    /// # Errors
    ///
    /// Moreover when it is too large, of a version that is not known, or has a field of version 1
    /// in a record of version 2, where it would have no effect.
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

    /// Kind and name.
    pub fn name(&self) -> &key::Name {
        &self.name
    }

    /// The version that it is read as.
    pub fn schema(&self) -> Schema {
        self.schema
    }

    /// What the system reads of it.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Every field, as it is stored.
    pub fn raw(&self) -> &Map<String, Value> {
        &self.raw
    }

    /// The fields as operators see and edit them: without those of the other version.
    pub fn operator_fields(&self) -> Map<String, Value> {
        let mut shown = self.raw.clone();
        schema::strip(&mut shown, fields(self.name.kind), self.schema);
        shown
    }

    /// The record in the newest version, readable to both, with all unknown fields.
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

    /// Names of fields that no version knows. They are kept, and may be spelling mistakes.
    pub fn unknown_fields(&self) -> Vec<String> {
        schema::unknown_fields(&self.raw, fields(self.name.kind))
    }
}

/// Every field of a kind.
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
