#!/usr/bin/env bash
# Starts stand-ins and three entries on loopback, sends the demo queries and stops the
# processes that it started. The exit status is that of balsam-load.
# Usage: scripts/demo.sh BIN_DIR
set -euo pipefail

if [ $# -ne 1 ]; then
  echo "usage: $0 BIN_DIR" >&2
  exit 2
fi
bin=$(cd "$1" && pwd)
demo=$(cd "$(dirname "$0")/../examples/demo" && pwd)
logs=$(mktemp -d "${TMPDIR:-/tmp}/balsam-demo.XXXXXX")

# Timeout for all entries to become ready, in seconds.
ready_timeout_s=30
# Timeout for a process to stop after SIGTERM, in tenths of a second.
stop_timeout_ds=100

. "$(dirname "$0")/processes.sh"
trap stop_all EXIT

require_free 127.0.0.1:17000 127.0.0.1:17012 127.0.0.1:17190 127.0.0.1:17290
start platform "$bin/balsam-standin" platform --config "$demo/platform.json"
start targets-az-1 "$bin/balsam-standin" target --config "$demo/targets-az-1.json"
start targets-az-2 "$bin/balsam-standin" target --config "$demo/targets-az-2.json"
for n in 1 2 3; do
  start "entry-$n" "$bin/balsam-entry" --config "$demo/entry-$n.json"
done
wait_ready 127.0.0.1:17012 127.0.0.1:17022 127.0.0.1:17032

"$bin/balsam-load" demo --settings "$demo/load.json"
