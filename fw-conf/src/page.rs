//! The reference page of settings, `docs/SETTINGS.md`, made from the tables of keys.

use std::fmt::Write;

use crate::entry;
use crate::key;
use crate::side;

const INTRODUCTION: &str = "# Settings

This page is written by `cargo run -p fw-conf --example settings_page`; a test compares it with the
code.

Settings are INI files. `#` and `;` begin a comment line. A value is taken as it stands, without
quotes or escapes. Every key is checked at the start and by `foxtailweir check`: all unknown,
repeated, missing, malformed and out-of-range keys are reported together, each with file, line, key
and what is allowed, and the process ends with exit code 2.

Durations are a whole number with `us`, `ms`, `s`, `min` or `h`; sizes with `B`, `KiB`, `MiB` or
`GiB`. Addresses are `ip:port` by IP number.
";

/// The whole page as Markdown.
pub fn markdown() -> String {
    let mut page = INTRODUCTION.to_owned();
    add_file(
        &mut page,
        "Entry (`foxtailweir`)",
        &entry::Settings::describe(),
    );
    add_file(
        &mut page,
        "Side (`foxtailweir-side`)",
        &side::Settings::describe(),
    );
    page
}

fn add_file(page: &mut String, title: &str, sections: &[key::Section]) {
    add(page, format_args!("\n## {title}\n"));
    for section in sections {
        add(
            page,
            format_args!("\n### [{}]\n\n{}\n", section.name, section.doc),
        );
        add(
            page,
            format_args!("\n| key | type | default | allowed | what it is for |\n"),
        );
        add(page, format_args!("|---|---|---|---|---|\n"));
        for key in &section.keys {
            add_key(page, key);
        }
    }
}

fn add_key(page: &mut String, key: &key::Key) {
    let default = key.default.as_deref().unwrap_or("**required**");
    let key::Key {
        name,
        type_name,
        allowed,
        doc,
        ..
    } = key;
    add(
        page,
        format_args!("| `{name}` | {type_name} | {default} | {allowed} | {doc} |\n"),
    );
}

fn add(page: &mut String, text: std::fmt::Arguments<'_>) {
    page.write_fmt(text)
        .expect("writing to a string never fails");
}
