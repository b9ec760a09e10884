#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program with the standard library only, beside what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 review/standins-3/*.go
