//! Deterministic answer text of a stand-in engine, derived from the prompt digest.

use fw_base::chat;
use fw_base::digest;
use fw_base::id;

/// Bytes of canonical JSON per token.
const BYTES_PER_TOKEN: id::Tokens = 4;

const WORDS: [&str; 8] = [
    "page", "draft", "offer", "notice", "reply", "review", "summary", "case",
];

/// Token count of one message, as the engine computes it.
pub fn tokens_of(message: &chat::Message) -> id::Tokens {
    let bytes = message.as_str().len() as id::Tokens;
    bytes.div_ceil(BYTES_PER_TOKEN)
}

/// Complete answer to the prompt that has this digest. The text starts with the digest, so that a
/// test can match an answer to its prompt.
pub fn text(digest: digest::Digest, tokens: u32) -> String {
    (0..tokens).map(|index| word(digest, index)).collect()
}

/// Text of token `index` of the answer to the prompt that has this digest.
pub(super) fn word(digest: digest::Digest, index: u32) -> String {
    if index == 0 {
        return String::from(digest);
    }
    let bytes = digest.as_bytes();
    let pick = bytes[index as usize % bytes.len()] as usize + index as usize;
    format!(" {}", WORDS[pick % WORDS.len()])
}
