#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwortquay ] && [ -x target/review-bed ] || exit 2
exec target/review-bed storm review/8/record.txt
