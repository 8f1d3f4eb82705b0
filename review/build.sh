#!/bin/sh
# Builds the stand-ins, consumers and checks of all cases.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
