#!/bin/sh
# Case 10: see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/seamd ] && [ -x target/review2/rig2 ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec target/review2/rig2 withdrawn "$here/record.txt"
