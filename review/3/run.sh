#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -f target/review/rig/StuckProbe.class || exit 2
test -f target/loftflow.jar || exit 2
CASE=review/3 exec java -Xmx256m -cp target/review rig.StuckProbe
