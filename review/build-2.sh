#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
CGO_ENABLED=0 GOWORK=off GOFLAGS="-buildvcs=false" go -C review build -o ../target/review-2/ ./rig2
