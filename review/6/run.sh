#!/bin/sh
# Case 6: one of three hosts is killed for good; the others end by themselves, again and again.
# TROUBLE=0 leaves the host alone. Exit: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec bin/stand-2 crowd --root . --record review/6/record.txt --trouble="$trouble"
