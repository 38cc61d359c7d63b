//! Bytes of calls to and from upstreams in other data centres, by kind.
//!
//! Sizes are taken where headers and bodies are handed over. The headers of TCP and IP and the framing
//! of chunks are left out.

use hyper::header::HeaderMap;

/// Length of a request or status line, about.
const FIRST_LINE: usize = 40;
/// Separators of a header line: colon, space, line end.
const HEADER_SEPARATORS: usize = 4;

/// Kind of what is sent or received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Request of a stream, with its prompt.
    Prompt,
    /// Answer of a stream.
    Answer,
    /// Plain request.
    PlainRequest,
    /// Answer to a plain request.
    PlainAnswer,
}

impl Kind {
    fn label(self) -> &'static str {
        match self {
            Self::Prompt => "prompt",
            Self::Answer => "answer",
            Self::PlainRequest => "plain_request",
            Self::PlainAnswer => "plain_answer",
        }
    }
}

/// Counts `len` bytes to or from another data centre.
pub fn count(kind: Kind, len: usize) {
    metrics::counter!("fw_gate_remote_bytes_total", "kind" => kind.label()).increment(len as u64);
}

/// Length of a message's first line and headers.
pub fn head_len(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    let lines = lines.map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATORS);
    FIRST_LINE + lines.sum::<usize>()
}
