#!/bin/sh
# Builds the stand-ins of the cases. The programs themselves are built by the deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p review/bin && exec go build -tags review -o review/bin/ ./review/cases
