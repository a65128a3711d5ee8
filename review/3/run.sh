#!/usr/bin/env bash
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the disruption.
set -u
case_dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_dir/../.." && pwd)
driver=$root/target/review/case$(basename "$case_dir")
rm -f "$case_dir/record.txt"
if [ ! -x "$driver" ] || [ ! -x "$root/target/release/chalkyard" ]; then
  echo "not built: the build of the deploy file, then review/build.sh"
  exit 2
fi
temp=$(mktemp -d) || exit 2
# The driver ends what it starts; the ids of its processes stand in `pids`, should it be cut off itself.
finish() {
  if [ -f "$temp/pids" ]; then
    while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$temp/pids"
  fi
  rm -rf "$temp"
}
trap finish EXIT
TROUBLE=${TROUBLE:-1} timeout -k 2 115 "$driver" "$root" "$temp" "$case_dir"
code=$?
# The driver removes `pids` once it has waited for all of them.
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
