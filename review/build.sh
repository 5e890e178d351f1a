#!/usr/bin/env bash
# Builds the stand-in that the scripts under review/ start. The programs come from the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
