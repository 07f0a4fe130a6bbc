#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/primrosemoor ] && [ -x target/review-2/standins2 ] || { echo "build first: the deploy file's build, review/build-2.sh" >&2; exit 2; }
exec target/review-2/standins2 takeup "$folder"
