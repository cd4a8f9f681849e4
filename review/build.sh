#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. The project's programs are built by the deploy
# file's own line.
set -euo pipefail
cd "$(dirname "$0")/.."
GOFLAGS=-mod=readonly go build -tags review -o target/review/ ./review/standins/...
