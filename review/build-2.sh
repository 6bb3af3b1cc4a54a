#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases of the second review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline \
    --manifest-path review/kit-2/Cargo.toml
