#!/bin/sh
# A version whose order was replaced before a daemon read it counts as the old version.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stage2 ] && [ -x target/turmerichaven ] || exit 2
exec target/review/stage2 replaced review/9/record.txt
