#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and
# 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/cranberryd ] || [ ! -x target/review-rig ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh"
  exit 2
fi
exec target/review-rig reclaim-gang review/4
