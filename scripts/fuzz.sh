#!/usr/bin/env bash
# Runs every fuzz test for a duration (20s) or a number of inputs (5000x) each: scripts/fuzz.sh LIMIT.
# What fails is left in testdata/fuzz of its package.
set -euo pipefail
cd "$(dirname "$0")/.."

git grep -oE '^func Fuzz[A-Za-z0-9]+' -- '*_test.go' | while IFS=: read -r file declaration; do
  go test -run '^$' -fuzz "^${declaration#func }\$" -fuzztime "$1" -fuzzminimizetime 10x "./$(dirname "$file")"
done
