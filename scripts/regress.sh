#!/usr/bin/env bash
# Runs the regression tests on the users' test bench: hunts, then scores.
#
#   scripts/regress.sh BENCH SITES WHY [all]
#
# BENCH is the bench program and SITES the directory of its site files. The runs cover the
# newest deployments; "all" adds those that they replaced. The output is in out/regress.
set -euo pipefail
cd "$(dirname "$0")/.."

bench=$1
sites=$2
why=$3
out=out/regress
mkdir -p "$out"

# Each site with the days of its hunt: 40, or 8 on sites with 60 or more entries.
newest="further/huerta-trenza:40 further-grown/huerta-trenza-grown:8 large/fixture-commons-large:8"
replaced="sites/fixture-commons:40 sites/molina-piedra:40 grown/fixture-commons-grown:8 grown/molina-piedra-grown:8"

runs="$newest"
if [ "${4:-}" = all ]; then
  runs="$newest $replaced"
fi

failed=0
for run in $runs; do
  site=${run%%:*}
  name=$(basename "$site")
  "$bench" hunt "$sites/$site.toml" --days "${run##*:}" --why "$why" > "$out/hunt-$name.txt" 2>&1 || failed=1
  "$bench" score "$sites/$site.toml" --why "$why" > "$out/score-$name.txt" 2>&1 || failed=1
  grep -hE 'broken|GATE' "$out/hunt-$name.txt" "$out/score-$name.txt" | sed "s|^|$name: |" || echo "$name: no rule broken in the hunt"
  grep -q 'GATE passed' "$out/score-$name.txt" || failed=1
done
exit $failed
