//! Splits a file into keys and values that know their lines.

use ini::Ini;
use ini::ParseOption;
use smol_str::SmolStr;

/// What one line holds.
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

/// Longest piece of a bad line or value that an error shows, in characters.
const MAX_EXCERPT_CHARS: usize = 60;

/// The lines of `text` that mean something.
///
/// rust-ini keeps no line numbers, and joins a line without `=` to the next one; so it is given
/// one line at a time, and each error names the line that it comes from.
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
    // Values are taken as they stand: no escapes, and quotes are part of the value.
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

/// The beginning of `text`, without control characters.
pub(crate) fn excerpt(text: &str) -> SmolStr {
    let printable = text.chars().filter(|c| !c.is_control());
    printable.take(MAX_EXCERPT_CHARS).collect()
}
