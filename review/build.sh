#!/bin/sh
# Builds the stand-ins of the cases to target/review. They use nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
