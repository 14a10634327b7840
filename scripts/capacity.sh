#!/usr/bin/env bash
# Measures the marginal costs in docs/CAPACITY.md on loopback and stops the processes
# that it started. Each line of output has the load average, because the host is shared.
# Usage:
#   scripts/capacity.sh BIN_DIR fanout SHARDS RATE SECONDS [PROFILE_FILE]
#       CPU time of one entry per query; every query is sent to SHARDS targets
#   scripts/capacity.sh BIN_DIR documents SERVICES TARGETS SHARDS
#       startup time, heap and resident memory of an entry with a sheet of that size
#   scripts/capacity.sh BIN_DIR peers ENTRIES SECONDS
#       CPU time and bytes sent and received of idle entries
#   scripts/capacity.sh BIN_DIR changes SERVICES TARGETS CHANGES
#       CPU time and bytes sent and received per change of one service of the sheet, for
#       a watcher and for an entry that gets the sheet from it
set -euo pipefail

if [ $# -lt 4 ]; then
  sed -n '2,14p' "$0" >&2
  exit 2
fi
bin=$(cd "$1" && pwd)
mode=$2
logs=$(mktemp -d "${TMPDIR:-/tmp}/balsam-capacity.XXXXXX")
# Timeout for all entries to become ready, in seconds.
ready_timeout_s=60
# Timeout for a process to stop after SIGTERM, in tenths of a second.
stop_timeout_ds=100
# Addresses of the platform and the control interface of the targets, and first ports of
# the entries (10 ports each) and of the targets.
platform=127.0.0.1:18500
control=127.0.0.1:18501
first_entry=18510
first_target=18800
admin_key=capacity-admin-key-not-a-secret-01
caller_key=capacity-caller-key-not-a-secret

. "$(dirname "$0")/processes.sh"
trap stop_all EXIT

# entry_address N KIND prints the address of entry N; KIND is 1 for callers, 2 for
# operators, 3 for peers.
entry_address() { echo "127.0.0.1:$((first_entry + 10 * ($1 - 1) + $2))"; }

# write_entry N ENTRIES writes the settings of entry N.
write_entry() {
  local n peers=""
  for ((n = 1; n <= $2; n++)); do
    [ "$n" -eq "$1" ] || peers+="${peers:+,}{\"id\":\"entry-$n\",\"zone\":\"az-$((n % 3))\",\"address\":\"$(entry_address "$n" 3)\"}"
  done
  cat >"$logs/entry-$1.json" <<END
{"id":"entry-$1","zone":"az-$(($1 % 3))","caller_address":"$(entry_address "$1" 1)",
 "admin_address":"$(entry_address "$1" 2)","peer_address":"$(entry_address "$1" 3)",
 "platform_address":"$platform","peers":[$peers],
 "peer_key":"capacity-peer-key-not-a-secret-001","permit_key":"capacity-permit-key-not-a-secret-1",
 "admin_key":"$admin_key","log_level":"warn","balancer_delay_ms":0,"drain_timeout_ms":5000}
END
}

# write_documents SERVICES TARGETS SHARDS writes the sheet and the index. Each shard
# has up to 3 replicas; the targets are assigned to the shards in round-robin order.
write_documents() {
  awk -v services="$1" -v targets="$2" -v first="$first_target" \
    -v digest="$(printf %s "$caller_key" | sha256sum | cut -c1-64)" 'BEGIN {
    printf "{\"revision\":1,\"date\":\"2026-12-04\",\"workspaces\":[{\"name\":\"asan-toolroom\"}],"
    printf "\"callers\":[{\"name\":\"asan-buyer\",\"workspace\":\"asan-toolroom\",\"key_digest\":\"%s\",\"services\":[\"service-1\"]}],\"targets\":[", digest
    # Targets without a process of their own have addresses that refuse connections.
    for (t = 1; t <= targets; t++) printf "%s{\"id\":\"t-%d\",\"address\":\"127.%d.%d.1:%d\",\"zone\":\"az-%d\",\"slots\":64,\"max_connections\":128}", \
      (t > 1 ? "," : ""), t, (t > 100), (t > 100 ? int(t / 100) % 200 : 0), first + t % 100, t % 3
    printf "],\"services\":["
    for (s = 1; s <= services; s++) printf "%s{\"name\":\"service-%d\",\"priority\":2,\"latency\":{\"contract_ms\":110,\"max_deadline_ms\":1000},\"coverage\":{\"min_ratio\":0.95},\"repeat\":{\"rule\":\"idempotent\"},\"limits\":{\"max_concurrency\":256,\"max_queue\":256,\"max_fanout\":100},\"hedge\":{\"budget_ratio\":0.05},\"canary\":{\"max_wait_ms\":5}}", (s > 1 ? "," : ""), s
    print "]}"
  }' >"$logs/sheet.json"
  awk -v services="$1" -v targets="$2" -v shards="$3" 'BEGIN {
    printf "{\"revision\":1,\"services\":["
    next_target = 0
    for (s = 1; s <= services; s++) {
      printf "%s{\"name\":\"service-%d\",\"snapshots\":[{\"index_version\":1,\"shard_map_epoch\":1,\"shards\":[", (s > 1 ? "," : ""), s
      for (i = 0; i < shards; i++) printf "%s[\"t-%d\",\"t-%d\",\"t-%d\"]", (i > 0 ? "," : ""), \
        (next_target + i) % targets + 1, (next_target + i + 1) % targets + 1, (next_target + i + 2) % targets + 1
      next_target = (next_target + shards) % targets
      printf "]}]}"
    }
    print "]}"
  }' >"$logs/index.json"
}

write_platform() {
  cat >"$logs/platform.json" <<END
{"address":"$platform","calls_per_second":2000,"hosts_lag_ms":1000,
 "documents":{"sheet":"sheet.json","index":"index.json"},"hosts":[],"log_level":"warn"}
END
}

# write_targets N writes the settings of one stand-in process with N fast targets.
write_targets() {
  awk -v targets="$1" -v first="$first_target" -v control="$control" 'BEGIN {
    printf "{\"targets\":["
    for (t = 1; t <= targets; t++) printf "%s{\"id\":\"t-%d\",\"address\":\"127.0.0.1:%d\",\"zone\":\"az-%d\",\"slots\":64,\"max_connections\":128,\"dial_cost_ms\":1,\"service_time_ms_median\":5,\"service_time_sigma\":0.2,\"cold_ms\":0,\"seed\":%d,\"status_lag_ms\":100,\"record_limit\":16}", \
      (t > 1 ? "," : ""), t, first + t % 100, t % 3, t
    printf "],\"services\":{\"service-1\":{\"snapshots\":[{\"index_version\":1,\"shard_map_epoch\":1}]}},\"control_address\":\"%s\",\"log_level\":\"warn\"}\n", control
  }' >"$logs/targets.json"
}

write_load() {
  cat >"$logs/load.json" <<END
{"entries":[{"id":"entry-1","address":"$(entry_address 1 1)"}],
 "callers":[{"name":"asan-buyer","workspace":"asan-toolroom","key":"$caller_key"}],
 "workload":[{"service":"service-1","callers":["asan-buyer"],"weight":1,"deadline_ms":1000,"contract_ms":110,"min_ratio":0.95}],
 "capacity_per_second":1000}
END
}

# ticks PID prints the CPU time of a process in ms (user and system).
ticks() {
  local fields
  read -r -a fields <"/proc/$1/stat"
  echo $(((fields[13] + fields[14]) * 1000 / $(getconf CLK_TCK)))
}

# io PID FIELD prints a counter of /proc/PID/io, which includes reads and writes of sockets.
io() { awk -v field="$2:" '$1 == field {print $2}' "/proc/$1/io"; }

# resident PID prints the resident memory of a process in kB.
resident() { awk '$1 == "VmRSS:" {print $2}' "/proc/$1/status"; }

load_average() { cut -d' ' -f1 /proc/loadavg; }

vars() { curl -s -m 10 -H "Authorization: Bearer $admin_key" "http://$(entry_address 1 2)/debug/vars"; }

memory() { vars | jq -r '.memstats | "heap_in_use_kB=\(.HeapInuse/1024|floor) heap_alloc_kB=\(.HeapAlloc/1024|floor) sys_kB=\(.Sys/1024|floor) gc=\(.NumGC)"'; }

run_fanout() {
  local shards=$1 rate=$2 seconds=$3 profile=${4:-} entry before after answered idle wrote read pid_profile=""
  require_free "$platform" "$(entry_address 1 1)"
  write_documents 1 "$((shards < 3 ? 3 : shards))" "$shards"
  write_platform
  write_targets "$((shards < 3 ? 3 : shards))"
  write_entry 1 1
  write_load
  start platform "$bin/balsam-standin" platform --config "$logs/platform.json"
  start targets "$bin/balsam-standin" target --config "$logs/targets.json"
  start entry-1 "$bin/balsam-entry" --config "$logs/entry-1.json"
  entry=${pids[2]}
  wait_ready "$(entry_address 1 2)"
  # Open the connections before the measurement.
  "$bin/balsam-load" run --settings "$logs/load.json" --rate "$rate" --duration 3s --seed 99 >/dev/null || true
  before=$(ticks "$entry") wrote=$(io "$entry" wchar) read=$(io "$entry" rchar)
  sleep 5
  idle=$(($(ticks "$entry") - before))
  echo "idle: shards=$shards cpu_ms_per_5s=$idle sent_B_per_s=$((($(io "$entry" wchar) - wrote) / 5)) received_B_per_s=$((($(io "$entry" rchar) - read) / 5)) load=$(load_average)"
  if [ -n "$profile" ]; then
    (sleep 1; curl -s -m 30 -H "Authorization: Bearer $admin_key" -o "$profile" "http://$(entry_address 1 2)/debug/pprof/profile?seconds=$((seconds - 2))") &
    pid_profile=$!
  fi
  local vars_before vars_after
  vars_before=$(vars)
  wrote=$(io "$entry" wchar) read=$(io "$entry" rchar)
  before=$(ticks "$entry")
  "$bin/balsam-load" run --settings "$logs/load.json" --rate "$rate" --duration "${seconds}s" --seed 7 --json >"$logs/summary.json" || true
  after=$(ticks "$entry")
  wrote=$(($(io "$entry" wchar) - wrote)) read=$(($(io "$entry" rchar) - read))
  vars_after=$(vars)
  [ -z "$pid_profile" ] || wait "$pid_profile"
  answered=$(jq '.answered' "$logs/summary.json")
  echo "shards=$shards rate=$rate seconds=$seconds requests=$(jq .requests "$logs/summary.json") answered=$answered" \
    "cpu_ms=$((after - before)) idle_ms_per_5s=$idle" \
    "cpu_us_per_query=$(awk -v c=$((after - before)) -v i="$idle" -v s="$seconds" -v a="$answered" 'BEGIN{printf "%.0f", (c - i * s / 5) * 1000 / a}')" \
    "$(printf '%s\n%s\n' "$vars_before" "$vars_after" | jq -rs --argjson a "$answered" '"attempts=\(([.[1].balsam_entry.attempts_total[]]|add) - ([.[0].balsam_entry.attempts_total[]]|add)) allocs_per_query=\((.[1].memstats.Mallocs-.[0].memstats.Mallocs)/$a|floor) bytes_per_query=\((.[1].memstats.TotalAlloc-.[0].memstats.TotalAlloc)/$a|floor)"' 2>/dev/null || true)" \
    "sent_B_per_query=$((wrote / answered)) received_B_per_query=$((read / answered))" \
    "connections=$(ls -l "/proc/$entry/fd" | grep -c socket) resident_kB=$(resident "$entry") $(memory) load=$(load_average)"
}

run_documents() {
  local entry started ready
  require_free "$platform" "$(entry_address 1 1)"
  write_documents "$1" "$2" "${3:-1}"
  write_platform
  write_entry 1 1
  start platform "$bin/balsam-standin" platform --config "$logs/platform.json"
  sleep "$settle_s"
  started=$(date +%s%N)
  start entry-1 "$bin/balsam-entry" --config "$logs/entry-1.json"
  entry=${pids[1]}
  until [ "$(http_status "$(entry_address 1 2)" /readyz 2>/dev/null)" = 200 ]; do
    check_running
    [ $(($(date +%s%N) - started)) -lt $((ready_timeout_s * 1000000000)) ] || return 1
    sleep 0.01
  done
  ready=$((($(date +%s%N) - started) / 1000000))
  local start_cpu idle
  start_cpu=$(ticks "$entry")
  sleep 3
  idle=$(ticks "$entry")
  sleep 10
  idle=$(($(ticks "$entry") - idle))
  echo "services=$1 targets=$2 shards=${3:-1} sheet_B=$(stat -c %s "$logs/sheet.json") index_B=$(stat -c %s "$logs/index.json")" \
    "ready_ms=$ready cpu_to_ready_ms=$start_cpu idle_cpu_ms_per_10s=$idle resident_kB=$(resident "$entry") $(memory) load=$(load_average)"
  # Measure the memory of idle caller connections, each of which has sent one request.
  local fd before after connections=400
  before=$(vars | jq '.memstats | .HeapAlloc + .StackInuse')
  for ((fd = 0; fd < connections; fd++)); do
    exec {caller}<>"/dev/tcp/127.0.0.1/$((first_entry + 1))"
    printf 'GET / HTTP/1.1\r\nHost: entry\r\n\r\n' >&"$caller"
  done
  sleep 1
  after=$(vars | jq '.memstats | .HeapAlloc + .StackInuse')
  echo "caller connections=$connections heap_and_stack_B_per_connection=$(((after - before) / connections))"
}

run_peers() {
  local entries=$1 seconds=$2 n i
  local -a cpu wrote read admin=()
  require_free "$platform" "$(entry_address 1 1)"
  write_documents 25 3 3
  write_platform
  start platform "$bin/balsam-standin" platform --config "$logs/platform.json"
  for ((n = 1; n <= entries; n++)); do
    write_entry "$n" "$entries"
    start "entry-$n" "$bin/balsam-entry" --config "$logs/entry-$n.json"
    admin+=("$(entry_address "$n" 2)")
  done
  wait_ready "${admin[@]}"
  sleep 5
  for ((n = 1; n <= entries; n++)); do
    cpu[n]=$(ticks "${pids[n]}") wrote[n]=$(io "${pids[n]}" wchar) read[n]=$(io "${pids[n]}" rchar)
  done
  sleep "$seconds"
  for ((n = 1; n <= entries; n++)); do
    echo "$(($(ticks "${pids[n]}") - cpu[n])) $(($(io "${pids[n]}" wchar) - wrote[n])) $(($(io "${pids[n]}" rchar) - read[n])) $(resident "${pids[n]}")"
  done | awk -v n="$entries" -v s="$seconds" -v l="$(load_average)" '{c += $1; w += $2; r += $3; m += $4}
    END {printf "entries=%d seconds=%d cpu_ms_per_s=%.2f sent_B_per_s=%.0f received_B_per_s=%.0f resident_kB=%.0f load=%s\n", n, s, c/n/s, w/n/s, r/n/s, m/n, l}'
}

# costs prints the CPU time in ms, bytes written and bytes read of both entries.
costs() {
  local n
  for n in 1 2; do
    echo "$(ticks "${pids[n]}") $(io "${pids[n]}" wchar) $(io "${pids[n]}" rchar)"
  done
}

run_changes() {
  local changes=$3 n idle before after seconds
  require_free "$platform" "$(entry_address 1 1)"
  write_documents "$1" "$2" 1
  write_platform
  start platform "$bin/balsam-standin" platform --config "$logs/platform.json"
  # Both entries are in one zone with one watcher. The other one gets pushes and deltas.
  for n in 1 2; do
    write_entry "$n" 2
    sed -i -e 's/"zone":"az-[0-9]"/"zone":"az-1"/g' -e 's/"log_level"/"watchers_per_zone":1,"log_level"/' "$logs/entry-$n.json"
    start "entry-$n" "$bin/balsam-entry" --config "$logs/entry-$n.json"
  done
  wait_ready "$(entry_address 1 2)" "$(entry_address 2 2)"
  sleep 3
  # The costs of an idle period of the same length are subtracted.
  seconds=$(awk -v c="$changes" 'BEGIN {print c * 0.5}')
  before=$(costs)
  sleep "$seconds"
  idle=$(costs)
  for ((n = 2; n < changes + 2; n++)); do
    sed -e "s/^{\"revision\":1,/{\"revision\":$n,/" -e "s/\"max_queue\":256/\"max_queue\":$((n % 200 + 1))/" "$logs/sheet.json" >"$logs/changed.json"
    curl -s -m 10 -o /dev/null -X PUT --data-binary "@$logs/changed.json" "http://$platform/control/config/sheet" &
    sleep 0.5
  done
  sleep 1
  after=$(costs)
  paste -d' ' <(echo "$before") <(echo "$idle") <(echo "$after") | awk -v c="$changes" -v s="$1" -v t="$2" -v l="$(load_average)" '{
    printf "services=%d targets=%d changes=%d entry=%d cpu_ms_per_change=%.1f sent_B_per_change=%d received_B_per_change=%d load=%s\n", \
      s, t, c, NR, (($7 - $4) - ($4 - $1)) / c, (($8 - $5) - ($5 - $2)) / c, (($9 - $6) - ($6 - $3)) / c, l}'
  curl -s -m 5 -H "Authorization: Bearer $admin_key" "http://$(entry_address 2 2)/status" | jq -c '{id,sheet_revision}'
}

case $mode in
fanout) run_fanout "${@:3}" ;;
documents) run_documents "${@:3}" ;;
peers) run_peers "${@:3}" ;;
changes) run_changes "${@:3}" ;;
*)
  echo "unknown mode $mode" >&2
  exit 2
  ;;
esac
