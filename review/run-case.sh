#!/bin/sh
# run-case.sh N: runs a case with a temporary folder, and ends all processes that it started.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
REVIEW=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(dirname "$REVIEW")
CASE=$REVIEW/standin/target/release/review-case
[ -x "$CASE" ] && [ -x "$ROOT/target/release/hookworks" ] || { echo "not built"; exit 2; }
TEMP=$(mktemp -d) || exit 2
running=

cleanup() {
    [ -n "$running" ] && kill -KILL "$running" 2>/dev/null
    # Controllers that are left: only those whose settings are in this folder.
    if [ -f "$TEMP/processes" ]; then
        while read -r id; do
            if [ -r "/proc/$id/cmdline" ] && tr "\0" " " <"/proc/$id/cmdline" | grep -q "$TEMP/"; then
                kill -KILL "$id" 2>/dev/null
            fi
        done <"$TEMP/processes"
    fi
    if [ -n "$KEEP" ]; then echo "kept $TEMP"; else rm -rf "$TEMP"; fi
}
trap 'cleanup; exit 2' INT TERM HUP

"$CASE" "$1" "$REVIEW/$1" "$ROOT" "$TEMP" &
running=$!
wait "$running"
result=$?
running=
cleanup
case $result in 0 | 1) exit $result ;; *) exit 2 ;; esac
