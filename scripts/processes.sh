# Functions that start processes, wait until they are ready and stop only those. The
# script that sources this file sets logs, ready_timeout_s and stop_timeout_ds.

pids=()
names=()

# start NAME COMMAND... runs a command in the background with its output in $logs.
start() {
  local name=$1
  shift
  "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

# require_free ADDRESS... fails if a process listens on one of the addresses, such as
# another run of the same script. Two runs would measure and disturb each other.
require_free() {
  local address
  for address in "$@"; do
    if (exec 3<>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null; then
      echo "$address is in use; is another run in progress?" >&2
      return 1
    fi
  done
}

# check_running fails and prints the end of the log if a started process has exited.
check_running() {
  local i
  for i in "${!pids[@]}"; do
    if ! kill -0 "${pids[$i]}" 2>/dev/null; then
      echo "${names[$i]} exited early; end of $logs/${names[$i]}.log:" >&2
      tail -n 20 "$logs/${names[$i]}.log" >&2
      return 1
    fi
  done
}

# http_status ADDRESS PATH prints the status of a GET request, or nothing if there is no
# response.
http_status() {
  local line
  exec 3<>"/dev/tcp/${1%:*}/${1##*:}" || return 0
  printf 'GET %s HTTP/1.0\r\nHost: %s\r\n\r\n' "$2" "$1" >&3
  read -r -t 2 line <&3 || line=""
  exec 3>&- 3<&-
  line=${line#* }
  echo "${line%% *}"
}

# Time after which a process that cannot listen has exited, in seconds.
settle_s=0.5

# wait_ready ADMIN_ADDRESS... waits until /readyz returns 200 at every address, and
# checks that the started processes are running: the responses could be another run's.
wait_ready() {
  local deadline=$((SECONDS + ready_timeout_s)) address
  for address in "$@"; do
    until [ "$(http_status "$address" /readyz 2>/dev/null)" = 200 ]; do
      check_running || return 1
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "$address is not ready after $ready_timeout_s s; logs are in $logs" >&2
        return 1
      fi
      sleep 0.1
    done
  done
  sleep "$settle_s"
  check_running
}

# stop_all stops the started processes in reverse order: SIGTERM, a wait of limited
# length, then SIGKILL.
stop_all() {
  local rc=$? i n
  trap - EXIT
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
  done
  for i in "${!pids[@]}"; do
    for ((n = 0; n < stop_timeout_ds; n++)); do
      kill -0 "${pids[$i]}" 2>/dev/null || break
      sleep 0.1
    done
    if kill -0 "${pids[$i]}" 2>/dev/null; then
      echo "${names[$i]} did not stop in time; sending SIGKILL" >&2
      kill -KILL "${pids[$i]}" 2>/dev/null || true
    fi
    wait "${pids[$i]}" 2>/dev/null || true
  done
  if [ "$rc" -eq 0 ]; then
    rm -rf "$logs"
  else
    echo "logs are in $logs" >&2
  fi
  exit "$rc"
}
