#!/bin/bash
# Case 8: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -e proxy/target/cacheproxy.jar ] || [ ! -e review/out-2/rev2/LongList.class ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh"
    exit 2
fi
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout -k 5 90 java -Xmx256m -cp review/out-2 rev2.LongList "$work" review/8/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
