#!/bin/sh
# Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
# Starts a control node, a follower and two worker stand-ins; ends them all. Takes about 20 s.
# Times in record.txt are milliseconds since the start.
folder=$(cd "$(dirname "$0")" && pwd)
REVIEW_ROOT=$(cd "$folder/../.." && pwd)
export REVIEW_ROOT
program="$folder/../bin/case$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x "$REVIEW_ROOT/target/release/corkbay" ]; then
    echo "build first: the build of deploy/balancer.toml, then review/build-2.sh" >&2
    exit 2
fi
exec "$program" "$folder"
