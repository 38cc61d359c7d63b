//! Access to the sources of the workspace, for tests that compare documentation with code.

use std::path::Path;
use std::path::PathBuf;

/// The root directory of the workspace.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}

/// All Rust files below the `src` directories of the crates.
pub fn files() -> Vec<PathBuf> {
    let crates = std::fs::read_dir(root()).unwrap();
    let sources = crates.map(|dir| dir.unwrap().path().join("src"));
    sources
        .filter(|src| src.is_dir())
        .flat_map(|src| below(&src))
        .collect()
}

/// All Rust files below `dir`.
pub fn below(dir: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in std::fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(below(&path));
        } else if path.extension().is_some_and(|ext| ext == "rs") {
            files.push(path);
        }
    }
    files
}

pub fn read(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap()
}
