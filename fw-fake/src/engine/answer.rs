//! The text that a stand-in engine answers, derived from the prompt alone.

use fw_base::chat;
use fw_base::digest;
use fw_base::id;

/// Bytes of canonical JSON that count as one token.
const BYTES_PER_TOKEN: id::Tokens = 4;

const WORDS: [&str; 8] = [
    "page", "draft", "offer", "notice", "reply", "review", "summary", "case",
];

/// Tokens of one message, as the engine counts them.
pub fn tokens_of(message: &chat::Message) -> id::Tokens {
    let bytes = message.as_str().len() as id::Tokens;
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// The whole answer to a prompt with this digest: it names the digest, so that a test can tell
/// whose answer it is.
pub fn text(digest: digest::Digest, tokens: u32) -> String {
    (0..tokens).map(|index| word(digest, index)).collect()
}

/// The text of token `index` of the answer to a prompt with this digest.
pub(super) fn word(digest: digest::Digest, index: u32) -> String {
    if index == 0 {
        return String::from(digest);
    }
    let bytes = digest.as_bytes();
    let pick = bytes[index as usize % bytes.len()] as usize + index as usize;
    format!(" {}", WORDS[pick % WORDS.len()])
}
