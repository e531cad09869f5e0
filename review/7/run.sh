#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwortquay ] && [ -x target/review-bed ] || exit 2
exec target/review-bed backlog review/7/record.txt
