#!/usr/bin/env bash
# Builds the stand-ins of the second review. Run it at any place, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin-2 ./review/standin2
