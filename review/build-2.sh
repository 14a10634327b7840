#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. It needs no module and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2-rig ./review/_kit2/rig
