#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0
# the disruption is left out. Before it: the build of deploy/system.toml and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/radishhoistd ] || { echo "build first"; exit 2; }
exec review/bin/standin turnedaway review/3 .
