#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/review-2/. They need Go only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
GOWORK=off GOFLAGS= go build -o ../../target/review-2/standins2 .
