#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
here=$(pwd)
root=$(cd ../.. && pwd)
[ -f "$root/target/firstage.jar" ] && [ -f ../classes/Run.class ] || exit 2
timeout -k 3 115 java -Xmx512m -cp ../classes BadClients "$root" "$here"
status=$?
[ $status -le 1 ] || exit 2
exit $status
