#!/usr/bin/env bash
# Runs a case: case.sh PROGRAM FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# couldn't run. With TROUBLE=0 the disruption is left out.
set -u
program=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
for p in gateway control sidecar; do
  [ -x "target/snipereach-$p" ] || { echo "target/snipereach-$p is missing: run the build line of deploy/system.toml first" >&2; exit 2; }
done
[ -x "target/review/$program" ] || review/build.sh || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
# The case and all that it starts have a process group of their own, of which nothing is left at the end.
set -m
timeout -k 5 110 "target/review/$program" -record "$folder/record.txt" -trouble="$trouble" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null; exit 2' INT TERM
wait "$group"
code=$?
kill -KILL -- "-$group" 2>/dev/null
case $code in
0 | 1 | 2) exit "$code" ;;
*) exit 2 ;;
esac
