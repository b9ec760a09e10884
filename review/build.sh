#!/usr/bin/env bash
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/review-rig .
