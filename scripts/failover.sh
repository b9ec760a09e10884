#!/usr/bin/env bash
# Kills (SIGNAL=KILL) or suspends (SIGNAL=STOP) entry hosts under load, once for
# each mode in which callers use the host list (flag --mode of seamctl load). VICTIMS
# lists the indices of the hosts: "0" is one host, "0 3 6" are those of one
# availability zone.
source "$(dirname "$0")/lib.sh"
for mode in ${MODES:-one list two}; do
  start
  bin/seamctl load --hosts "$(seeds)" --preset "$preset" --rate 50 --duration 5s --callers 50 > /dev/null 2>&1 # loads the models
  bin/seamctl load --hosts "$(seeds)" --preset "$preset" --rate "${RATE:-1000}" --duration "${DURATION:-20s}" --timeout 20s \
    --callers "${CALLERS:-400}" --mode "$mode" > "$out/load-$mode.out" 2> "$out/load.err" &
  load=$!
  sleep 6
  for v in ${VICTIMS:-0}; do kill "-${SIGNAL:-KILL}" "${pid[$v]}"; done
  wait "$load" || true
  echo "== mode $mode, signal ${SIGNAL:-KILL}, hosts ${VICTIMS:-0}"
  cat "$out/load-$mode.out"
  for v in ${VICTIMS:-0}; do kill -KILL "${pid[$v]}" 2> /dev/null || true; done
  stop > "$out/counters-$mode.out"
done
