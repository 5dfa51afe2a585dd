#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
PATH="$(bash .ci/go-toolchain):$PATH"
cd review/standin-2
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=readonly go build -o standin-2 .
