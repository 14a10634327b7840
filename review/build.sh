#!/bin/bash
# Builds every stand-in that the scripts of the review start: the store, the servers, the clients and the
# operator are one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-kit ./review/_kit
