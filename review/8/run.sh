#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves out the disruption; feeds.rs reads it from the environment.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
for program in target/release/primroseplankd target/review-2/feeds; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/feeds review/8/record.txt
