#!/bin/bash
# Builds the stand-ins of the second review, after the build of the deploy file; needs no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
