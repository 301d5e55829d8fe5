#!/bin/sh
# Builds the stand-ins of the cases. The project's programs are built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/standin ./review/standin
