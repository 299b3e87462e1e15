#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/radishhoistd ] && [ -x target/review-parties ] || { echo "build first: the build line of deploy/system.toml, then review/build-2.sh"; exit 2; }
exec target/review-parties stop-twice review/6/record.txt
