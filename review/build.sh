#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. The product itself is built with the
# build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p ../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review-rig ./rig
