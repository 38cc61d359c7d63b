//! The two schema versions of records, and the conversion of fields between them.
//!
//! Both versions are written and read at the same time while a fleet is migrated:
//!
//! - `schema` is the version of the last writer, whose fields take precedence.
//! - A writer of version 2 also stores the equivalent fields of version 1, so that readers of
//!   version 1 keep working.
//! - A writer of version 1 preserves fields that it does not know and sets `schema` to 1. A reader
//!   of version 2 then uses the fields of version 1, and the fields of version 2 only where version
//!   1 has no equivalent.
//! - A later version is read as version 2, since its writers must keep the fields of version 2.

use std::time::Duration;

use serde_json::Map;
use serde_json::Value;

use crate::field;

/// Name of the field with the version number.
pub const FIELD: &str = "schema";

/// A supported schema version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Schema {
    /// Flat fields; numbers have their unit in the field's name.
    V1,
    /// Grouped fields; durations are strings with a unit, shares are factors.
    #[default]
    V2,
}

impl Schema {
    /// The version as a number, the value of the field `schema`.
    pub fn number(self) -> u64 {
        match self {
            Self::V1 => 1,
            Self::V2 => 2,
        }
    }

    /// The version to read `map` as.
    ///
    /// # Errors
    ///
    /// When `schema` is missing or not a positive integer.
    pub fn of(map: &Map<String, Value>) -> Result<Self, field::Error> {
        let value = map.get(FIELD);
        match value.and_then(Value::as_u64) {
            Some(1) => Ok(Self::V1),
            Some(2..) => Ok(Self::V2),
            Some(0) | None => Err(field::Error::new(FIELD, "1 or 2", value)),
        }
    }
}

/// How each schema version encodes a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Encoding {
    /// The same in both versions.
    Same,
    /// Version 1: number of milliseconds. Version 2: string such as `30s`.
    Millis,
    /// Version 1: number of seconds. Version 2: string such as `1h`.
    Seconds,
    /// Version 1: integer, 100 for the neutral share. Version 2: factor, 1.0 for the neutral share.
    Weight,
}

/// A field, with its location and encoding in each schema version.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Name in version 1; `None` if version 1 has no such field.
    pub v1: Option<&'static str>,
    /// Path in version 2.
    pub v2: &'static [&'static str],
    /// Encoding of the value.
    pub encoding: Encoding,
}

/// The neutral share, 1.0, in the encoding of version 1.
pub const NEUTRAL_WEIGHT: f64 = 100.0;

impl Field {
    /// A field that is the same in both versions.
    pub const fn same(path: &'static [&'static str]) -> Self {
        Self {
            v1: Some(path[0]),
            v2: path,
            encoding: Encoding::Same,
        }
    }

    /// Whether the versions store the field at different paths.
    pub fn differs(&self) -> bool {
        self.v1.is_some_and(|v1| self.v2 != [v1])
    }

    /// The field's name in `schema`, for messages.
    pub fn name(&self, schema: Schema) -> String {
        match (schema, self.v1) {
            (Schema::V1, Some(v1)) => v1.to_owned(),
            _ => self.v2.join("."),
        }
    }

    /// The field's value and the schema version that it is written in.
    pub fn find<'a>(
        &self,
        map: &'a Map<String, Value>,
        schema: Schema,
    ) -> (Schema, Option<&'a Value>) {
        match (schema, self.v1) {
            (Schema::V1, Some(v1)) => (Schema::V1, map.get(v1)),
            _ => (Schema::V2, at(map, self.v2)),
        }
    }
}

/// Adds the equivalent fields of version 1 to a record of version 2.
pub fn add_v1(map: &mut Map<String, Value>, fields: &[Field]) {
    for field in fields.iter().filter(|field| field.differs()) {
        let Some(v1) = field.v1 else { continue };
        match at(map, field.v2).and_then(|value| to_v1(field.encoding, value)) {
            Some(value) => map.insert(v1.to_owned(), value),
            None => map.remove(v1),
        };
    }
}

/// Removes the fields of the other version, so that each value appears once.
pub fn strip(map: &mut Map<String, Value>, fields: &[Field], schema: Schema) {
    for field in fields.iter().filter(|field| field.differs()) {
        match (schema, field.v1) {
            (Schema::V2, Some(v1)) => {
                map.remove(v1);
            }
            _ => remove(map, field.v2),
        }
    }
}

/// Converts a record of version 1 to version 2.
pub fn upgrade(map: &mut Map<String, Value>, fields: &[Field]) {
    for field in fields.iter().filter(|field| field.differs()) {
        let Some(v1) = field.v1 else { continue };
        let value = map.remove(v1);
        match value.and_then(|value| to_v2(field.encoding, &value)) {
            Some(value) => insert(map, field.v2, value),
            None => remove(map, field.v2),
        }
    }
    map.insert(FIELD.to_owned(), Schema::V2.number().into());
}

/// The first field that a record of version 2 has under its name of version 1, where it would have
/// no effect.
pub fn misplaced<'a>(map: &Map<String, Value>, fields: &'a [Field]) -> Option<&'a Field> {
    let mut differing = fields.iter().filter(|field| field.differs());
    differing.find(|field| field.v1.is_some_and(|v1| map.contains_key(v1)))
}

/// Names at the top level of `map` that neither version defines.
pub fn unknown_fields(map: &Map<String, Value>, fields: &[Field]) -> Vec<String> {
    let is_known = |name: &str| {
        let mut names = fields
            .iter()
            .flat_map(|field| [field.v1, Some(field.v2[0])]);
        name == FIELD || names.any(|known| known == Some(name))
    };
    map.keys().filter(|name| !is_known(name)).cloned().collect()
}

fn to_v1(encoding: Encoding, value: &Value) -> Option<Value> {
    match encoding {
        Encoding::Same => Some(value.clone()),
        Encoding::Millis => {
            let millis = field::parse_duration(value)?.as_millis();
            Some(u64::try_from(millis).ok()?.into())
        }
        Encoding::Seconds => Some(field::parse_duration(value)?.as_secs().into()),
        Encoding::Weight => {
            let weight = (value.as_f64()? * NEUTRAL_WEIGHT).round().max(1.0);
            Some((weight as u64).into())
        }
    }
}

fn to_v2(encoding: Encoding, value: &Value) -> Option<Value> {
    let text = |time: Duration| humantime::format_duration(time).to_string();
    match encoding {
        Encoding::Same => Some(value.clone()),
        Encoding::Millis => Some(text(Duration::from_millis(value.as_u64()?)).into()),
        Encoding::Seconds => Some(text(Duration::from_secs(value.as_u64()?)).into()),
        Encoding::Weight => Some((value.as_f64()? / NEUTRAL_WEIGHT).into()),
    }
}

fn at<'a>(map: &'a Map<String, Value>, path: &[&str]) -> Option<&'a Value> {
    let (first, rest) = path.split_first()?;
    rest.iter()
        .try_fold(map.get(*first)?, |value, name| value.get(name))
}

fn insert(map: &mut Map<String, Value>, path: &[&str], value: Value) {
    match path {
        [] => (),
        [last] => {
            map.insert((*last).to_owned(), value);
        }
        [first, rest @ ..] => {
            let group = map.entry((*first).to_owned()).or_insert(Value::Null);
            if !group.is_object() {
                *group = Map::new().into();
            }
            if let Value::Object(group) = group {
                insert(group, rest, value);
            }
        }
    }
}

fn remove(map: &mut Map<String, Value>, path: &[&str]) {
    match path {
        [] => (),
        [last] => {
            map.remove(*last);
        }
        [first, rest @ ..] => {
            let Some(Value::Object(group)) = map.get_mut(*first) else {
                return;
            };
            remove(group, rest);
            if group.is_empty() {
                map.remove(*first);
            }
        }
    }
}
