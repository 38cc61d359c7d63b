//! Assembles the assistant's message from the chunks of a stream.

use std::collections::BTreeMap;

use fw_base::chat;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

/// The fields of a `chat.completion.chunk` that the side reads.
#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
    #[serde(default)]
    error: Option<Value>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    refusal: Option<String>,
    #[serde(default)]
    tool_calls: Vec<ToolPart>,
}

#[derive(Debug, Deserialize)]
struct ToolPart {
    #[serde(default)]
    index: u32,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    function: FunctionPart,
}

#[derive(Debug, Default, Deserialize)]
struct FunctionPart {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    arguments: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<Details>,
}

#[derive(Debug, Deserialize)]
struct Details {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Debug, Default)]
struct ToolCall {
    id: String,
    name: String,
    arguments: String,
}

/// Kind of a received chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChunkKind {
    /// A part of the answer, to be forwarded.
    Part {
        /// Whether it contains text or a tool call.
        has_content: bool,
    },
    /// Only the usage, which is sent with the final state of the attempt.
    Usage,
    /// An error that the engine reported within the stream.
    Error(String),
    /// Not a valid chunk.
    Malformed(String),
}

/// The answer received so far.
#[derive(Debug, Default)]
pub struct Answer {
    content: String,
    refusal: String,
    tool_calls: BTreeMap<u32, ToolCall>,
    finish_reason: Option<String>,
    usage: chat::Usage,
}

impl Answer {
    /// Parses and applies one chunk.
    pub fn apply_chunk(&mut self, text: &str) -> ChunkKind {
        let chunk: Chunk = match serde_json::from_str(text) {
            Ok(chunk) => chunk,
            Err(err) => return ChunkKind::Malformed(err.to_string()),
        };
        if let Some(err) = chunk.error {
            return ChunkKind::Error(err.to_string());
        }
        if let Some(usage) = &chunk.usage {
            let details = usage.prompt_tokens_details.as_ref();
            self.usage = chat::Usage {
                prompt: usage.prompt_tokens,
                cached: details.map_or(0, |details| details.cached_tokens),
                completion: usage.completion_tokens,
            };
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return ChunkKind::Usage;
        };
        let has_content = self.apply_delta(choice.delta);
        self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        ChunkKind::Part { has_content }
    }

    fn apply_delta(&mut self, delta: Delta) -> bool {
        let content = delta.content.unwrap_or_default();
        let refusal = delta.refusal.unwrap_or_default();
        let has_text = !content.is_empty() || !refusal.is_empty();
        let has_tool_calls = !delta.tool_calls.is_empty();
        self.content.push_str(&content);
        self.refusal.push_str(&refusal);
        for part in delta.tool_calls {
            let call = self.tool_calls.entry(part.index).or_default();
            call.id.push_str(&part.id.unwrap_or_default());
            let function = part.function;
            call.name.push_str(&function.name.unwrap_or_default());
            call.arguments
                .push_str(&function.arguments.unwrap_or_default());
        }
        has_text || has_tool_calls
    }

    /// Token counts; zero until the engine has sent them.
    pub fn usage(&self) -> chat::Usage {
        self.usage
    }

    /// Finish reason of the generation, if it has ended.
    pub fn finish_reason(&self) -> Option<&str> {
        self.finish_reason.as_deref()
    }

    /// The message in the form that is added to the history.
    ///
    /// # Errors
    ///
    /// As [`chat::Message::from_value`].
    pub fn message(&self) -> Result<chat::Message, chat::ParseError> {
        let mut message = json!({ "role": "assistant" });
        // Client libraries return a message without text with `content` null or absent, and the
        // canonical form drops both. Empty text next to tool calls is therefore omitted.
        if !self.content.is_empty() || self.tool_calls.is_empty() {
            message["content"] = json!(self.content);
        }
        if !self.refusal.is_empty() {
            message["refusal"] = json!(self.refusal);
        }
        if !self.tool_calls.is_empty() {
            let calls: Vec<_> = self.tool_calls.values().map(ToolCall::to_value).collect();
            message["tool_calls"] = json!(calls);
        }
        chat::Message::from_value(message)
    }
}

impl ToolCall {
    fn to_value(&self) -> Value {
        json!({
            "id": self.id,
            "type": "function",
            "function": { "name": self.name, "arguments": self.arguments },
        })
    }
}
