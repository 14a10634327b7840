#!/bin/bash
# Builds the stand-ins and clients of the third review into out/review-3/. They import packages of this module only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review-3
go build -o out/review-3/kit3 ./review/_kit3
