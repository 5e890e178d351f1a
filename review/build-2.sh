#!/bin/bash
# Builds the stand-ins of the second review's cases, which review/N/run.sh start (N = 6 to 10).
# The programs themselves are built as deploy/system.toml says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2/bed ./review/_bed
