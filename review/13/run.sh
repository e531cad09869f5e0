#!/usr/bin/env bash
# Lets full engines preempt some streams for 1.7 s, and stops two daemons in turn. With
# TROUBLE=0 none is preempted.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin-3 ] && [ -x target/ragwortquay ] || exit 2
exec target/review-standin-3 silence review/13/record.txt
