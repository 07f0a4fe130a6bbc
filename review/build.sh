#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. They need the Go
# standard library only and no network.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/standins"
GOWORK=off go build -o "$root/target/review-standins" .
