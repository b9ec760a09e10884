#!/bin/sh
# Builds every stand-in that the scripts of the second review start: one program without dependencies.
set -e
cd "$(dirname "$0")/rig2"
mkdir -p ../../target/review2
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review2/rig2 .
