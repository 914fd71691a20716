#!/bin/sh
# A server's acknowledged departure is forgotten when its record can't be read at the start.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/stage2 ] && [ -x target/turmerichaven ] || exit 2
exec target/review/stage2 unread review/7/record.txt
