#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-bed ./review/bed
