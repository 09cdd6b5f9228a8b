#!/usr/bin/env bash
# Builds what the scripts of the second review start besides the project's programs: the stand-ins and checkers in
# lib-2/, which need the tool chain alone. The project's programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/lib-2/main.rs
