#!/bin/bash
# Builds the stand-ins and drivers of the scripts in review/6 and later. Needs rustc only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/harness review/lib-2/harness.rs
