//! Writes `docs/SETTINGS.md`.

use std::path::Path;

fn main() -> std::io::Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    std::fs::write(root.join("docs/SETTINGS.md"), fw_conf::page::markdown())
}
