#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Needs the build
# line of deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/oatlatchd ] && [ -x target/review/rig ] || exit 2
exec target/review/rig -record review/2/record.txt target-restart
