#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -C review -o ../target/review-rig3 ./rig3
