#!/bin/bash
# Runs one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. Ends all processes that it has started.
cd "$(dirname "$0")/../.." || exit 2
case_name=$1
folder=$2
harness=target/review-2/harness
[ -x "$harness" ] && [ -x target/release/quetzalworksd ] || {
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
}
work=$(mktemp -d) || exit 2
: > "$work/pids"
finish() {
    # The driver ends its processes itself; this is for a driver that was ended.
    while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = quetzalworksd ] && kill -KILL "$pid" 2>/dev/null
    done < "$work/pids"
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout 118 "$harness" "$case_name" "$work" "$folder/record.txt" > "$work/pids"
result=$?
case $result in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
esac
