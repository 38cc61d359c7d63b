//! The items named in the glossary exist in the code.

use googletest::prelude::*;

use crate::source_tree;

/// Keywords that precede the name of an item in its definition.
const DEFINITIONS: [&str; 7] = [
    "struct ", "enum ", "trait ", "type ", "fn ", "const ", "mod ",
];

/// The item paths on the page, such as `fw_base::id::Turn`.
fn paths() -> Vec<String> {
    let page = source_tree::read(&source_tree::root().join("docs/GLOSSARY.md"));
    let quoted = page.split('`').skip(1).step_by(2);
    let paths = quoted.filter(|text| text.starts_with("fw_"));
    paths.map(str::to_owned).collect()
}

/// Whether the crate at the start of `path` defines an item with the last name of the path.
fn exists(path: &str) -> bool {
    let name = path.split("::").next().unwrap_or_default();
    let dir = source_tree::root().join(name.replace('_', "-")).join("src");
    if !dir.is_dir() {
        return false;
    }
    let Some((_, item)) = path.rsplit_once("::") else {
        return true;
    };
    let files = source_tree::below(&dir);
    files
        .iter()
        .any(|file| defines(&source_tree::read(file), item))
}

fn defines(text: &str, item: &str) -> bool {
    let is_definition = |line: &str| {
        DEFINITIONS.iter().any(|word| {
            let Some((_, rest)) = line.split_once(word) else {
                return false;
            };
            let after = rest.strip_prefix(item);
            after.is_some_and(|rest| !rest.starts_with(|c: char| c.is_alphanumeric() || c == '_'))
        })
    };
    text.lines().any(is_definition) || text.contains(&format!("    {item} in \""))
}

#[gtest]
fn each_path_of_the_glossary_exists() {
    let paths = paths();
    expect_that!(paths.len(), gt(20));
    for path in paths {
        expect_that!(exists(&path), eq(true), "{path}");
    }
}

#[gtest]
fn a_path_that_is_made_up_does_not_exist() {
    expect_that!(exists("fw_base::id::NoSuchId"), eq(false));
    expect_that!(exists("fw_nothing"), eq(false));
}
