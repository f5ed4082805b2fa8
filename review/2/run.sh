#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: the same without the disruption.
set -eu
unset CDPATH
here=$(cd -- "$(dirname -- "$0")" && pwd -P)
cd -- "$here/../.."
[ -d review/target/classes ] || { echo "run review/build.sh first"; exit 2; }
exec java -XX:TieredStopAtLevel=1 -cp review/target/classes review.CrowdedWorker "$here"
