#!/bin/sh
# Builds the stand-ins of the second review's cases, without the network: they use the standard library alone.
set -e
cd "$(dirname "$0")/trials2"
mkdir -p ../bin
GOFLAGS="${GOFLAGS:--buildvcs=false}" GOWORK=off GOPROXY=off go build -o ../bin/trials2 .
