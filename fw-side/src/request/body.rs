//! The body of a chat completion, written once.

use bytes::Bytes;
use fw_base::chat;
use fw_base::error;
use fw_base::id;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;

use crate::errors;

/// Room for the fields besides messages and parameters, in bytes.
const FIELDS_CAPACITY: usize = 256;

/// What the body says besides the messages.
#[derive(Clone, Copy, Debug)]
pub struct Options<'a> {
    /// The model.
    pub model: &'a str,
    /// Most tokens to generate; 0 sets no bound.
    pub max_tokens: id::Tokens,
    /// The caller's other fields: a JSON object as text.
    pub params: &'a str,
}

/// Checks the caller's other fields, before the call is queued.
///
/// # Errors
///
/// `BadRequest` if they are no JSON object.
pub fn check_params(params: &str) -> Result<(), error::Error> {
    parse_params(params).map(|_| ())
}

/// Writes the body. The messages' text is copied here and nowhere else.
///
/// # Errors
///
/// `BadRequest` if the parameters are no JSON object.
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
