# Functions shared by the scripts in this folder, which source this file. They run
# stand-ins and entry hosts as separate processes on loopback addresses.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

port=${PORT:-17000}
hosts=${HOSTS:-8}
preset=${PRESET:-qasr}
out=${OUT:-out/run}
life=${ANSWER_LIFE:-2s}
declare -A pid

build() {
  mkdir -p bin "$out"
  go build -o bin/ ./cmd/seamd ./cmd/seamctl
}

caller_port() { echo $((port + 1 + 3 * $1)); }
admin_port() { echo $((port + 2 + 3 * $1)); }
seeds() { local s=""; for ((i = 0; i < hosts; i++)); do s="$s,127.0.0.1:$(caller_port "$i")"; done; echo "${s:1}"; }

start_host() {
  bin/seamd --config "$out/host-$1.json" >> "$out/host-$1.out" 2>> "$out/host-$1.log" &
  pid[$1]=$!
}

wait_ready() {
  for _ in $(seq 200); do
    curl -sf -o /dev/null "http://127.0.0.1:$(admin_port "$1")/readyz" && return 0
    sleep 0.1
  done
  echo "host $1 did not become ready" >&2
  return 1
}

# start builds the programs, starts the stand-ins and the hosts, and applies the
# instances of the preset.
start() {
  build
  rm -f "$out"/*.log "$out"/*.out
  bin/seamctl stand-ins --dir "$out" --preset "$preset" --hosts "$hosts" --port "$port" --answer-life "$life" ${STAND_INS:-} > "$out/stand-ins.out" 2>&1 &
  pid[stand]=$!
  for _ in $(seq 100); do grep -q ready "$out/stand-ins.out" && break; sleep 0.1; done
  for ((i = 0; i < hosts; i++)); do start_host "$i"; done
  for ((i = 0; i < hosts; i++)); do wait_ready "$i"; done
  SEAM_TOKEN=stand-in-operator-token bin/seamctl apply -H "127.0.0.1:$(admin_port 0)" -f "$out/instances.json" > "$out/apply.out"
}

# stop terminates the hosts, then the stand-ins, and prints the final counters.
stop() {
  for k in "${!pid[@]}"; do
    [ "$k" = stand ] || kill "${pid[$k]}" 2> /dev/null || true
  done
  for k in "${!pid[@]}"; do
    [ "$k" = stand ] || wait "${pid[$k]}" 2> /dev/null || true
  done
  kill "${pid[stand]}" 2> /dev/null || true
  wait "${pid[stand]}" 2> /dev/null || true
  [ ! -f "$out/counters.json" ] || cat "$out/counters.json"
  echo
}
trap 'for p in "${pid[@]}"; do kill -9 "$p" 2> /dev/null || true; done' EXIT
