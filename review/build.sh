#!/usr/bin/env bash
# Builds the stand-ins of all cases: one program, without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/harness review/harness/main.rs
