//! Prints the digest of `spec/keeper.pml`, which is stored in `spec/generated/SOURCE`.

use std::path::Path;

use fw_base::digest::Digest;

fn main() -> std::io::Result<()> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../spec/keeper.pml");
    let source = std::fs::read(path)?;
    println!("{}", String::from(Digest::of_bytes(&source)));
    Ok(())
}
