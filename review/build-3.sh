#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=0 GOWORK=off GOFLAGS="-buildvcs=false" go build -C review -o ../target/review-rig3 ./rig3
