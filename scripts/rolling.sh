#!/usr/bin/env bash
# Restarts all entry hosts one after the other under load. Expected result: no
# request is aborted or lost, and no response is wrong.
#   RATE=2000 scripts/rolling.sh
source "$(dirname "$0")/lib.sh"
start
bin/seamctl load --hosts "$(seeds)" --preset "$preset" --rate 50 --duration 5s --callers 50 > /dev/null 2>&1 # loads the models
bin/seamctl load --hosts "$(seeds)" --preset "$preset" --rate "${RATE:-2000}" --duration "${DURATION:-60s}" \
  --callers "${CALLERS:-400}" --mode "${MODE:-two}" ${LOAD_FLAGS:-} --plot "$out/rolling.svg" > "$out/load.out" 2> "$out/load.err" &
load=$!
for ((i = 0; i < hosts; i++)); do
  sleep 1
  kill "${pid[$i]}"
  wait "${pid[$i]}" || echo "host $i ended with status $?"
  start_host "$i"
  wait_ready "$i"
  echo "restarted host $i"
done
kill -0 "$load" 2> /dev/null || echo "the load ended before all hosts were restarted"
wait "$load" || true
cat "$out/load.out"
stop
