#!/usr/bin/env bash
# Starts two fleets of the same shape on loopback, one with the policies off and one with
# them on, runs the benchmark and stops the processes that it started. The exit status is
# that of balsam-load.
# Usage: scripts/bench.sh BIN_DIR SEEDS OUT [OPTION...]
# Options are passed to `balsam-load bench`. A short run:
#   scripts/bench.sh bin 1 out/bench.json --scenarios steady,slowdown --duration 2s
set -euo pipefail

if [ $# -lt 3 ]; then
  echo "usage: $0 BIN_DIR SEEDS OUT [OPTION...]" >&2
  exit 2
fi
bin=$(cd "$1" && pwd)
seeds=$2
out=$3
shift 3
bench=$(cd "$(dirname "$0")/../examples/bench" && pwd)
logs=$(mktemp -d "${TMPDIR:-/tmp}/balsam-bench.XXXXXX")

# Timeout for all entries to become ready, in seconds.
ready_timeout_s=30
# Timeout for a process to stop after SIGTERM, in tenths of a second.
stop_timeout_ds=100

. "$(dirname "$0")/processes.sh"
trap stop_all EXIT

# fleet POLICY PORTS starts a fleet. It copies the settings with the policy mode POLICY
# and ports that start with PORTS.
fleet() {
  local file n
  require_free "127.0.0.1:${2}00" "127.0.0.1:${2}12" "127.0.0.1:${2}90"
  mkdir "$logs/$1"
  for file in "$bench"/*.json; do
    sed -e "s/127\.0\.0\.1:173/127.0.0.1:$2/" -e "s/\"policy_mode\": \"off\"/\"policy_mode\": \"$1\"/" "$file" >"$logs/$1/${file##*/}"
  done
  start "platform-$1" "$bin/balsam-standin" platform --config "$logs/$1/platform.json"
  start "targets-$1" "$bin/balsam-standin" target --config "$logs/$1/targets.json"
  for n in 1 2 3; do
    start "entry-$n-$1" "$bin/balsam-entry" --config "$logs/$1/entry-$n.json"
  done
  wait_ready "127.0.0.1:${2}12" "127.0.0.1:${2}22" "127.0.0.1:${2}32"
}

fleet off 173
fleet on 174

"$bin/balsam-load" bench --off "$logs/off/load.json" --on "$logs/on/load.json" --seeds "$seeds" --out "$out" "$@"
