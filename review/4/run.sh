#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
top=$(cd "$here/../.." && pwd)
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
cd "$top" || exit 2
[ -x target/hibiscuscart ] && [ -x target/review-standin-2 ] || exit 2
timeout 115 target/review-standin-2 -case stop-long -program target/hibiscuscart -record "$here/record.txt" -dir "$work" -trouble="$trouble"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
