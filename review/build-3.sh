#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin-3 ./review/standin-3
