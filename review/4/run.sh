#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the
# disruption out. Needs the build of the deploy file and review/build.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
driver=review/kit/target/release/review-kit
[ -x "$driver" ] && [ -x target/release/cassiashunt ] || { echo "not built" >&2; exit 2; }
exec "$driver" foreign-report "$folder"
