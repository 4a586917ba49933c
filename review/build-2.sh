#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into bin/. standin2 uses the standard library only, standin3 what the build of the deploy
# file has brought; no network is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
root=$PWD
GOPROXY=off go build -tags review3 -o bin/standin3 ./review/standin3
cd review/standin2
GOFLAGS=-buildvcs=false GOPROXY=off CGO_ENABLED=0 go build -o "$root/bin/standin2" .
