//! Incremental decoder for server-sent events.

use bytes::BytesMut;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Result of decoding the next event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decoded {
    /// The data of an event.
    Data(String),
    /// The event that ends the stream.
    Done,
    /// More bytes are needed.
    Incomplete,
    /// An event is too large, or is not valid UTF-8.
    Malformed,
}

/// Decoder state: the bytes that have not been decoded yet.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
    /// Length of the prefix of `buf` that contains no line end.
    scanned: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Decodes the next event. Each is one `data:` line, as sent by OpenAI's API; comments, empty
    /// lines and other fields are skipped.
    pub fn next_event(&mut self) -> Decoded {
        while let Some(len) = self.line_end() {
            let line = self.buf.split_to(len + 1);
            self.scanned = 0;
            let Ok(line) = std::str::from_utf8(&line) else {
                return Decoded::Malformed;
            };
            match line.trim_end().strip_prefix("data:").map(str::trim_start) {
                Some("[DONE]") => return Decoded::Done,
                Some(data) => return Decoded::Data(data.to_owned()),
                None => {}
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Decoded::Malformed;
        }
        Decoded::Incomplete
    }

    fn line_end(&mut self) -> Option<usize> {
        let unscanned = &self.buf[self.scanned..];
        let found = unscanned.iter().position(|byte| *byte == b'\n');
        match found {
            Some(at) => Some(self.scanned + at),
            None => {
                self.scanned = self.buf.len();
                None
            }
        }
    }
}
