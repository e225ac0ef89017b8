#!/bin/sh
# A proxy starts while discovery is down; it sends work to cache nodes that drain.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without the
# disruption. Needs the build of the deploy file and review/build.sh; writes record.txt and the proxy's log beside it.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx1g -cp review/out review.AgentSilentAtStart review/3
