#!/usr/bin/env bash
# Generates the verifier from keeper.pml with spin 6.5, and notes the digest of its source.
# Needed only after a change of keeper.pml: the tests compile what is committed.
set -eu
cd "$(dirname "$0")/generated"
spin -a ../keeper.pml
rm -f _spin_nvr.tmp
cargo run -q -p fw-check --example spec_digest > SOURCE
