//! Serialization of the body of a chat completion, with a single copy of the messages.

use bytes::Bytes;
use fw_base::chat;
use fw_base::error;
use fw_base::id;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::errors;

/// Buffer capacity for the fields other than messages and parameters, in bytes.
const FIELDS_CAPACITY: usize = 256;

/// The fields of the body other than the messages.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Maximum number of tokens to generate; 0 for no limit.
    pub max_tokens: id::Tokens,
    /// The caller's other fields, as the text of a JSON object.
    pub params: &'a str,
}

/// Checks the caller's other fields, before the call is queued.
///
/// # Errors
///
/// `BadRequest` if they are not a JSON object.
pub fn check_params(params: &str) -> Result<(), error::Error> {
    parse_params(params).map(|_| ())
}

/// Writes the body. This is the only place that copies the text of the messages.
///
/// # Errors
///
/// `BadRequest` if the parameters are not a JSON object.
pub fn write(opts: &Options<'_>, messages: &[chat::Message]) -> Result<Bytes, error::Error> {
    let mut fields = parse_params(opts.params)?;
    fields.remove("messages");
    fields.insert("model".into(), json!(opts.model));
    fields.insert("stream".into(), json!(true));
    fields.insert("stream_options".into(), json!({ "include_usage": true }));
    if opts.max_tokens > 0 {
        fields.insert("max_tokens".into(), json!(opts.max_tokens));
    }
    let head = Value::Object(fields).to_string();
    let texts = messages.iter().map(|message| message.as_str().len() + 1);
    let mut buf = Vec::with_capacity(head.len() + FIELDS_CAPACITY + texts.sum::<usize>());
    let open = head.strip_suffix('}').unwrap_or(&head);
    buf.extend_from_slice(open.as_bytes());
    buf.extend_from_slice(b",\"messages\":[");
    for (index, message) in messages.iter().enumerate() {
        if index > 0 {
            buf.push(b',');
        }
        buf.extend_from_slice(message.as_str().as_bytes());
    }
    buf.extend_from_slice(b"]}");
    Ok(buf.into())
}

fn parse_params(params: &str) -> Result<Map<String, Value>, error::Error> {
    if params.is_empty() {
        return Ok(Map::new());
    }
    serde_json::from_str(params).map_err(|err| {
        let why = format!("`params` must be a JSON object: {err}");
        errors::counted(error::Kind::BadRequest, why)
    })
}
