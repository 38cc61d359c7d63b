//! Chat messages in canonical form, and the parts of a chat completion request.
//!
//! Shapes follow OpenAI's chat completions API.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use snafu::{OptionExt, ResultExt, Snafu};

use crate::id;

/// One message as canonical JSON text: keys sorted, `null` fields and empty arrays removed.
///
/// Client libraries send an assistant's message back with their own field order and with fields
/// set to `null`; the canonical form makes both equal, so that a full history still verifies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Message(Arc<str>);

/// A parsed chat completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The requested model.
    pub model: id::ModelId,
    /// The messages, in order; at least one.
    pub messages: Vec<Message>,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Whether a streamed answer ends with a chunk that carries the usage.
    pub include_usage: bool,
    /// Maximum number of tokens to generate, if the caller set one.
    pub max_tokens: Option<id::Tokens>,
    /// All other fields, forwarded to the engine: a JSON object as text.
    pub params: Arc<str>,
}

/// Token counts of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, cached ones included.
    pub prompt: id::Tokens,
    /// Tokens of the prompt that the engine found in its cache.
    pub cached: id::Tokens,
    /// Tokens generated.
    pub completion: id::Tokens,
}

/// Why a request body was not accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ParseError {
    /// The body is not JSON.
    #[snafu(display("the body is not valid JSON: {source}"))]
    Json {
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A field is missing or has the wrong type.
    #[snafu(display("field `{field}` must be {expected}"))]
    Field {
        /// Name of the field.
        field: &'static str,
        /// The expected type or bounds.
        expected: &'static str,
    },
}

impl Message {
    /// The canonical form of `value`.
    ///
    /// # Errors
    ///
    /// When `value` is not an object or has no `role`.
    pub fn from_value(value: Value) -> Result<Self, ParseError> {
        let Value::Object(map) = value else {
            return FieldSnafu {
                field: "messages",
                expected: "an array of objects",
            }
            .fail();
        };
        map.get("role")
            .and_then(Value::as_str)
            .context(FieldSnafu {
                field: "messages[].role",
                expected: "a string",
            })?;
        let canonical = Value::Object(without_empty(map));
        Ok(Self(canonical.to_string().into()))
    }

    /// A message with plain text content.
    pub fn text(role: &str, content: &str) -> Self {
        let value = serde_json::json!({ "role": role, "content": content });
        Self(value.to_string().into())
    }

    /// The canonical JSON text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The message's `role`, or the empty string if a deserialized text has none.
    pub fn role(&self) -> String {
        self.field("role")
    }

    /// The message's text content, or the empty string if it has none.
    pub fn content(&self) -> String {
        self.field("content")
    }

    fn field(&self, name: &str) -> String {
        let value: Value = serde_json::from_str(&self.0).unwrap_or_default();
        let text = value.get(name).and_then(Value::as_str);
        text.unwrap_or_default().to_owned()
    }
}

impl Request {
    /// Parses the body of a chat completion request.
    ///
    /// # Errors
    ///
    /// When the body is not JSON, or a field that the system reads is missing or of a wrong type.
    /// Other fields are forwarded unchecked.
    pub fn parse(body: &[u8]) -> Result<Self, ParseError> {
        let mut map: Map<String, Value> = serde_json::from_slice(body).context(JsonSnafu)?;
        let model = take_model(&mut map)?;
        let messages = take_messages(&mut map)?;
        let stream = take_bool(&mut map, "stream")?;
        let include_usage = take_include_usage(&mut map);
        let max_tokens = take_max_tokens(&mut map)?;
        check_single_choice(&map)?;
        Ok(Self {
            model,
            messages,
            stream,
            include_usage,
            max_tokens,
            params: Value::Object(map).to_string().into(),
        })
    }
}

fn without_empty(map: Map<String, Value>) -> Map<String, Value> {
    let is_empty = |value: &Value| match value {
        Value::Null => true,
        Value::Array(items) => items.is_empty(),
        _ => false,
    };
    map.into_iter().filter(|(_, v)| !is_empty(v)).collect()
}

fn take_model(map: &mut Map<String, Value>) -> Result<id::ModelId, ParseError> {
    let model = map.remove("model");
    let name = model.as_ref().and_then(Value::as_str);
    let name = name.filter(|name| !name.is_empty()).context(FieldSnafu {
        field: "model",
        expected: "a non-empty string",
    })?;
    Ok(name.into())
}

fn take_messages(map: &mut Map<String, Value>) -> Result<Vec<Message>, ParseError> {
    let Some(Value::Array(items)) = map.remove("messages") else {
        return FieldSnafu {
            field: "messages",
            expected: "an array",
        }
        .fail();
    };
    if items.is_empty() {
        return FieldSnafu {
            field: "messages",
            expected: "an array of at least one message",
        }
        .fail();
    }
    items.into_iter().map(Message::from_value).collect()
}

fn take_bool(map: &mut Map<String, Value>, field: &'static str) -> Result<bool, ParseError> {
    match map.remove(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(value)) => Ok(value),
        Some(_) => FieldSnafu {
            field,
            expected: "a boolean",
        }
        .fail(),
    }
}

fn take_include_usage(map: &mut Map<String, Value>) -> bool {
    let options = map.remove("stream_options").unwrap_or_default();
    let include = options.get("include_usage").and_then(Value::as_bool);
    include.unwrap_or(false)
}

fn take_max_tokens(map: &mut Map<String, Value>) -> Result<Option<id::Tokens>, ParseError> {
    let newer = map.remove("max_completion_tokens");
    let older = map.remove("max_tokens");
    match newer.or(older) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => {
            let count = value.as_u64().filter(|count| *count > 0);
            let count = count.context(FieldSnafu {
                field: "max_tokens",
                expected: "a whole number above 0",
            })?;
            Ok(Some(count))
        }
    }
}

fn check_single_choice(map: &Map<String, Value>) -> Result<(), ParseError> {
    let choices = map.get("n").and_then(Value::as_u64).unwrap_or(1);
    if choices != 1 {
        return FieldSnafu {
            field: "n",
            expected: "1: a program has one history",
        }
        .fail();
    }
    Ok(())
}
