#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/review-stand-in-3
[ -x target/release/shallotrill ] && [ -x $program ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The processes that the program has started end with it.
trap 'kill "$running"; wait "$running"; exit 2' HUP INT TERM
TMPDIR=$folder $program orphan review/12/record.txt > /dev/null &
running=$!
wait "$running"
