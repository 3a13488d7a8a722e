#!/usr/bin/env bash
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review ] && [ -x target/release/shallotrill ] || exit 2
exec target/review/review refused-change review/5
