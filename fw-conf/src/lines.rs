//! Splits a file into sections, keys and values with their line numbers.

use ini::Ini;
use ini::ParseOption;
use smol_str::SmolStr;

/// Content of one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Line {
    Section(SmolStr),
    Entry { key: SmolStr, value: SmolStr },
    Malformed(SmolStr),
}

/// A line that is neither empty nor a comment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NumberedLine {
    /// Counted from 1.
    pub number: usize,
    pub line: Line,
}

/// Longest excerpt of an invalid line or value in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// Splits `text` into its lines, without empty lines and comments.
///
/// rust-ini keeps no line numbers and joins a line without `=` to the next one. It is therefore
/// given one line at a time, so that each error names its line.
pub(crate) fn split(text: &[u8]) -> Vec<NumberedLine> {
    let mut lines = Vec::new();
    for (index, bytes) in text.split(|b| *b == b'\n').enumerate() {
        let found = match std::str::from_utf8(bytes) {
            Ok(line) => parse(line.trim()),
            Err(_) => vec![Line::Malformed("not UTF-8".into())],
        };
        let number = index + 1;
        lines.extend(found.into_iter().map(|line| NumberedLine { number, line }));
    }
    lines
}

fn parse(line: &str) -> Vec<Line> {
    // Values are taken literally: no escapes, and quotes are part of the value.
    let opts = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let Ok(ini) = Ini::load_from_str_opt(line, opts) else {
        let quoted = format!("`{}`", excerpt(line));
        return vec![Line::Malformed(quoted.into())];
    };
    let mut found = Vec::new();
    for (section, entries) in ini.iter() {
        found.extend(section.map(|name| Line::Section(name.into())));
        found.extend(entries.iter().map(|(key, value)| Line::Entry {
            key: key.into(),
            value: value.into(),
        }));
    }
    found
}

/// The beginning of `text`, with control characters removed.
pub(crate) fn excerpt(text: &str) -> SmolStr {
    let printable = text.chars().filter(|c| !c.is_control());
    printable.take(MAX_EXCERPT_CHARS).collect()
}
