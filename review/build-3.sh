#!/bin/bash
# Builds the stand-ins of the scripted cases of review 3 into target/. It needs no network.
set -eu
cd "$(dirname "$0")/.."
PATH="$(bash .ci/go-toolchain):$PATH"
export PATH GOWORK=off GOFLAGS=-mod=mod GOPROXY=off CGO_ENABLED=0
mkdir -p target
cd review/standin-3
go build -o ../../target/standin-3 .
