# Functions that start a fleet on loopback and stop it by process id. Scripts in
# this folder source it after they set build, manifest and domains.

# ---------------------------------------------------------------- processes

work=$(mktemp -d)
declare -A pid_of

# Sends SIGTERM to every program and waits for it. Fails if one exits non-zero.
stop_all() {
  trap - EXIT INT TERM
  local name status failed=0
  for name in "${!pid_of[@]}"; do
    kill -TERM "${pid_of[$name]}" 2>/dev/null || true
  done
  for name in "${!pid_of[@]}"; do
    status=0
    wait "${pid_of[$name]}" 2>/dev/null || status=$?
    if [ "$status" -ne 0 ]; then
      echo "$(basename "$0"): $name exited with $status after SIGTERM"
      failed=1
    fi
  done
  return $failed
}
finish() {
  local code=$?
  stop_all || code=1
  if [ "$code" -ne 0 ]; then
    echo "$(basename "$0"): FAILED; logs are kept in $work"
    grep -hE " (warning|error): " "$work"/*.log | tail -n 20 || true
  else
    rm -rf "$work"
  fi
  exit "$code"
}
trap finish EXIT
trap 'exit 130' INT TERM

# Waits until a program exits and returns its exit code. Removes it from pid_of,
# as the system may reuse its process id.
wait_for_exit() {
  local pid=${pid_of[$1]}
  unset "pid_of[$1]"
  wait "$pid" 2>/dev/null
}

# Kills a program with SIGKILL to simulate a crash.
crash() {
  kill -KILL "${pid_of[$1]}"
  wait_for_exit "$1" || true
  echo "$(basename "$0"): killed $1"
}

fail() {
  echo "$(basename "$0"): $1"
  exit 1
}

# Sets port to a free one below the ephemeral range.
last_port=$((20000 + RANDOM % 10000))
free_port() {
  while :; do
    last_port=$((last_port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$last_port") 2>/dev/null; then
      port=$last_port
      return
    fi
  done
}

start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.log" &
  pid_of[$name]=$!
}

join() {
  local IFS=,
  echo "$*"
}

# Repeats a command until it succeeds, for 20 s at most.
# usage: await CONDITION COMMAND [ARGUMENT...]
await() {
  local condition=$1
  shift
  for _ in $(seq 1 200); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  fail "timed out after 20 s waiting for $condition"
}

ctl() {
  "$build/bulrushctl" --control "$(join "${control_addresses[@]}")" \
    --credential "$work/credential" --link-keys "$work/link-keys" "$@"
}

# ---------------------------------------------------------------- the fleet

gigabyte=1000000000
control_addresses=()
control_names=()
entries=()
declare -A entries_of
engines=()
services=()

# Starts the control host, entry hosts, engines and service of every failure
# domain.
# usage: start_fleet ENTRIES_PER_DOMAIN ENGINES_PER_DOMAIN
start_fleet() {
  umask 077
  head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/credential"

  "$build/bulrushctl" keygen "$work/link-keys"

  for domain in "${domains[@]}"; do
    free_port
    control_addresses+=("127.0.0.1:$port")
    control_names+=("control-$domain=127.0.0.1:$port")
  done

  for i in "${!domains[@]}"; do
    peers=()
    for j in "${!domains[@]}"; do
      [ "$i" -eq "$j" ] || peers+=("${control_names[$j]}")
    done
    mkdir -p "$work/data-${domains[$i]}"
    start "control-${domains[$i]}" "$build/bulrush-control" \
      --name "control-${domains[$i]}" --domain "${domains[$i]}" \
      --listen "${control_addresses[$i]}" --peers "$(join "${peers[@]}")" \
      --data "$work/data-${domains[$i]}" --credential "$work/credential" \
      --link-keys "$work/link-keys"
  done

  for i in "${!domains[@]}"; do
    domain=${domains[$i]}
    # The control host of its own failure domain comes first.
    controls=("${control_names[$i]}")
    for j in "${!domains[@]}"; do
      [ "$i" -eq "$j" ] || controls+=("${control_names[$j]}")
    done
    for number in $(seq 1 "$1"); do
      free_port
      entries+=("127.0.0.1:$port")
      entries_of[$domain]+="${entries_of[$domain]:+,}127.0.0.1:$port"
      start "entry-$domain-$number" "$build/bulrush-entry" \
        --name "entry-$domain-$number" --domain "$domain" \
        --listen "127.0.0.1:$port" --control "$(join "${controls[@]}")" \
        --credential "$work/credential" --link-keys "$work/link-keys"
    done
  done

  for domain in "${domains[@]}"; do
    for number in $(seq 1 "$2"); do
      free_port
      engines+=("127.0.0.1:$port")
      start "engine-$domain-$number" "$build/fake-endpoint" \
        --name "engine-$domain-$number" --domain "$domain" \
        --listen "127.0.0.1:$port" --report-to "${entries_of[$domain]}" \
        --memory $((80 * gigabyte)) --slots 64 --cold-slots 16 \
        --models "$(join diary-draft:1:$((20 * gigabyte)) \
          almanac-draft:1:$((20 * gigabyte)) proof:1:$((10 * gigabyte)))"
    done
  done
  for domain in "${domains[@]}"; do
    free_port
    services+=("127.0.0.1:$port")
    start "desk-$domain" "$build/fake-endpoint" --name "desk-$domain" \
      --domain "$domain" --listen "127.0.0.1:$port" \
      --report-to "${entries_of[$domain]}" --services desk --slots 64
  done
}

# Applies the manifest, issues a key for each workspace given and waits until
# every entry host is ready.
# usage: start_service WORKSPACE...
start_service() {
  await "a leader" ctl status
  ctl apply "$manifest"
  mkdir "$work/keys"
  for workspace in "$@"; do
    ctl key issue "$workspace" --key-file "$work/keys/$workspace"
  done
  for entry in "${entries[@]}"; do
    await "readiness of $entry" curl -fsS "http://$entry/readyz"
  done
}

# Sends a request of a workspace to the first entry host. curl reads the key
# from a file, as other users can see the command line.
# usage: send_request WORKSPACE PATH [CURL_OPTION...]
send_request() {
  local workspace=$1 path=$2
  shift 2
  printf 'header = "Authorization: Bearer %s"\n' \
    "$(cat "$work/keys/$workspace")" >"$work/curl.conf"
  curl -sS -N --max-time 10 -K "$work/curl.conf" \
    -H 'Content-Type: application/json' "http://${entries[0]}$path" "$@"
}
