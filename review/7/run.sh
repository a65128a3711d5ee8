#!/bin/bash
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review-2/standin
router=$root/target/release/chalkyard
# What was sent, answered and run, written anew by each run.
record=$here/record.txt
if [ ! -x "$standin" ] || [ ! -x "$router" ]; then
  echo "build first: the build of deploy/balancer.toml, then review/build-2.sh"
  exit 2
fi
"$standin" vacant "$record" "$router"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
