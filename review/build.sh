#!/bin/sh
# Builds the stand-ins of the scripts into review/bin, which is not committed.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS="-mod=mod -buildvcs=false" GOTOOLCHAIN=local go build -o ../bin/scene .
