#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/review-2/case-10"
[ -x "$program" ] && [ -x "$root/target/release/heatherfall-entry" ] || exit 2
FOLDER="$(mktemp -d)" || exit 2
export FOLDER RECORD="$here/record.txt" ENTRY="$root/target/release/heatherfall-entry"
"$program"
code=$?
# Entries that are still there if the program was ended early.
while read -r pid; do
    [ "$(readlink "/proc/$pid/exe")" = "$ENTRY" ] && kill -KILL "$pid"
done 2>/dev/null < "$FOLDER/pids"
rm -rf "$FOLDER"
[ "$code" -le 2 ] || code=2
exit "$code"
