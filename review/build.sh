#!/usr/bin/env bash
# Builds the stand-ins and scenes of the review's scripts, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
