#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=review/4
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 110 target/review/case-4 "$case" "$work"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
