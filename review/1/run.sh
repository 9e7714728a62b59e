#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout 110 java -Xmx512m -Droot="$(cd ../.. && pwd)" -cp ../build SlowBodies . "$work"
case $? in
    10) exit 0 ;;
    11) exit 1 ;;
    *) exit 2 ;;
esac
