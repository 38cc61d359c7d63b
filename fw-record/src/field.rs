//! Reads single fields of a record and checks their types and bounds.

use std::ops::RangeInclusive;
use std::time::Duration;

use fw_base::error;
use serde_json::Map;
use serde_json::Value;
use smol_str::SmolStr;
use snafu::Snafu;

use crate::schema::Encoding;
use crate::schema::Field;
use crate::schema::NEUTRAL_WEIGHT;
use crate::schema::Schema;

/// Longest excerpt of an invalid value in an error message, in bytes.
const MAX_EXCERPT_BYTES: usize = 60;

/// An invalid field of a record.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("field `{field}` must be {expected}, not {found}"))]
pub struct Error {
    /// The field's path, with the groups that contain it.
    pub field: String,
    /// The accepted values.
    pub expected: String,
    /// The value found.
    pub found: String,
}

impl Error {
    /// An error about `field`; `found` is `None` for a missing field.
    pub fn new(
        field: impl Into<String>,
        expected: impl Into<String>,
        found: Option<&Value>,
    ) -> Self {
        let found = match found {
            None => "missing".to_owned(),
            Some(value) => excerpt(value.to_string()),
        };
        Self {
            field: field.into(),
            expected: expected.into(),
            found,
        }
    }
}

impl From<Error> for error::Error {
    fn from(err: Error) -> Self {
        Self::new(error::Kind::BadRecord, err.to_string())
    }
}

/// Result of reading a field.
pub type Result<T> = std::result::Result<T, Error>;

/// Reads the fields of one record in one schema version.
#[derive(Clone, Copy, Debug)]
pub struct Reader<'a> {
    /// The record's raw fields.
    pub map: &'a Map<String, Value>,
    /// The schema version whose fields take precedence.
    pub schema: Schema,
}

impl<'a> Reader<'a> {
    /// The field's value, if it is there and not null, and the schema version it is written in.
    fn find(&self, field: &Field) -> (Schema, Option<&'a Value>) {
        let (schema, value) = field.find(self.map, self.schema);
        (schema, value.filter(|value| !value.is_null()))
    }

    /// An error that the value of `field` is not as `expected`.
    pub fn invalid(&self, field: &Field, expected: impl Into<String>) -> Error {
        Error::new(field.name(self.schema), expected, self.find(field).1)
    }

    /// Whether the field has a value.
    pub fn has(&self, field: &Field) -> bool {
        self.find(field).1.is_some()
    }

    /// A non-empty string of at most `max` bytes.
    pub fn text(&self, field: &Field, max: usize) -> Result<Option<SmolStr>> {
        let Some(value) = self.find(field).1 else {
            return Ok(None);
        };
        let fits = |text: &&str| (1..=max).contains(&text.len());
        match value.as_str().filter(fits) {
            Some(text) => Ok(Some(text.into())),
            None => Err(self.invalid(field, format!("a string of 1 to {max} bytes"))),
        }
    }

    /// An array of at most `max` non-empty strings of at most `max_len` bytes each; empty if the
    /// field is missing.
    pub fn texts(&self, field: &Field, max: usize, max_len: usize) -> Result<Vec<SmolStr>> {
        let Some(value) = self.find(field).1 else {
            return Ok(Vec::new());
        };
        let texts = value.as_array().filter(|items| items.len() <= max);
        let texts = texts.and_then(|items| {
            let texts = items.iter().map(Value::as_str);
            let fits = |text: &&str| (1..=max_len).contains(&text.len());
            let texts = texts.map(|text| text.filter(fits).map(SmolStr::from));
            texts.collect::<Option<Vec<_>>>()
        });
        texts.ok_or_else(|| {
            let expected = format!("an array of at most {max} strings of 1 to {max_len} bytes");
            self.invalid(field, expected)
        })
    }

    /// A boolean.
    pub fn flag(&self, field: &Field, default: bool) -> Result<bool> {
        match self.find(field).1 {
            None => Ok(default),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(self.invalid(field, "true or false")),
        }
    }

    /// One of several keywords.
    pub fn choice<T: Copy>(&self, field: &Field, choices: &[(&str, T)]) -> Result<Option<T>> {
        let Some(value) = self.find(field).1 else {
            return Ok(None);
        };
        let chosen = choices.iter().find(|(word, _)| value == word);
        match chosen {
            Some((_, choice)) => Ok(Some(*choice)),
            None => {
                let words: Vec<_> = choices
                    .iter()
                    .map(|(word, _)| format!("`{word}`"))
                    .collect();
                Err(self.invalid(field, words.join(" or ")))
            }
        }
    }

    /// An unsigned integer.
    pub fn count(&self, field: &Field, bounds: RangeInclusive<u64>) -> Result<Option<u64>> {
        let Some(value) = self.find(field).1 else {
            return Ok(None);
        };
        match value.as_u64().filter(|count| bounds.contains(count)) {
            Some(count) => Ok(Some(count)),
            None => {
                let (low, high) = bounds.into_inner();
                Err(self.invalid(field, format!("a whole number from {low} to {high}")))
            }
        }
    }

    /// A share as a factor of the neutral one, 1.0.
    pub fn share(&self, field: &Field, bounds: RangeInclusive<f64>) -> Result<Option<f64>> {
        let (schema, value) = self.find(field);
        let Some(value) = value else {
            return Ok(None);
        };
        let unit = match schema {
            Schema::V1 => NEUTRAL_WEIGHT,
            Schema::V2 => 1.0,
        };
        let share = value.as_f64().map(|number| number / unit);
        match share.filter(|share| bounds.contains(share)) {
            Some(share) => Ok(Some(share)),
            None => {
                let (low, high) = (bounds.start() * unit, bounds.end() * unit);
                Err(self.invalid(field, format!("a number from {low} to {high}")))
            }
        }
    }

    /// A duration, in the encoding of the schema version that the value is written in.
    pub fn duration(
        &self,
        field: &Field,
        bounds: RangeInclusive<Duration>,
    ) -> Result<Option<Duration>> {
        let (schema, value) = self.find(field);
        let Some(value) = value else {
            return Ok(None);
        };
        let time = match (schema, field.encoding) {
            (Schema::V1, Encoding::Seconds) => value.as_u64().map(Duration::from_secs),
            (Schema::V1, _) => value.as_u64().map(Duration::from_millis),
            (Schema::V2, _) => parse_duration(value),
        };
        match time.filter(|time| bounds.contains(time)) {
            Some(time) => Ok(Some(time)),
            None => Err(self.invalid(field, expected_duration(schema, field.encoding, &bounds))),
        }
    }
}

/// Parses a duration such as `30s` or `1h 30m`.
pub fn parse_duration(value: &Value) -> Option<Duration> {
    humantime::parse_duration(value.as_str()?).ok()
}

fn expected_duration(
    schema: Schema,
    encoding: Encoding,
    bounds: &RangeInclusive<Duration>,
) -> String {
    let (low, high) = (*bounds.start(), *bounds.end());
    match (schema, encoding) {
        (Schema::V1, Encoding::Seconds) => {
            let (low, high) = (low.as_secs(), high.as_secs());
            format!("a whole number of seconds from {low} to {high}")
        }
        (Schema::V1, _) => {
            let (low, high) = (low.as_millis(), high.as_millis());
            format!("a whole number of milliseconds from {low} to {high}")
        }
        (Schema::V2, _) => {
            let low = humantime::format_duration(low);
            let high = humantime::format_duration(high);
            format!("a duration from `{low}` to `{high}`, such as `30s`")
        }
    }
}

fn excerpt(mut text: String) -> String {
    if text.len() > MAX_EXCERPT_BYTES {
        let end = text.floor_char_boundary(MAX_EXCERPT_BYTES);
        text.truncate(end);
        text.push_str("...");
    }
    text
}
