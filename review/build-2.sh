#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review -o target/review-2 ./review/standins-2
