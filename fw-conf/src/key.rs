//! Descriptions of sections and keys, for the reference page and for validation.

use crate::codec;

/// Description of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Its section.
    pub section: &'static str,
    /// Its name.
    pub name: &'static str,
    /// Name of its type.
    pub type_name: &'static str,
    /// The default value as text; `None` for a required key.
    pub default: Option<String>,
    /// The allowed values.
    pub allowed: String,
    /// Its purpose.
    pub doc: String,
    /// Whether the default is an allowed value.
    pub default_is_allowed: bool,
}

/// A section and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Its name.
    pub name: &'static str,
    /// Its purpose.
    pub doc: String,
    /// Its keys in the order of the page.
    pub keys: Vec<Key>,
}

/// Whether a key is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    Optional,
    Required,
}

impl Key {
    pub(crate) fn describe<C: codec::Codec>(
        section: &'static str,
        name: &'static str,
        codec: &C,
        default: &C::Value,
        presence: Presence,
        doc: &[&str],
    ) -> Self {
        let text = codec.write(default);
        Self {
            section,
            name,
            type_name: codec.type_name(),
            default_is_allowed: codec.accepts(default),
            default: (presence == Presence::Optional).then_some(text),
            allowed: codec.allowed(),
            doc: join_lines(doc),
        }
    }
}

/// Joins the lines of a doc comment into one.
pub(crate) fn join_lines(doc: &[&str]) -> String {
    let lines: Vec<_> = doc.iter().map(|line| line.trim()).collect();
    lines.join(" ")
}
