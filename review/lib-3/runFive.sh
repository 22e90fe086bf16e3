#!/bin/sh
# Runs each case named five times, and once without the disruption.
cd "$(dirname "$0")/.."
for case in "$@"; do
  failed=0
  for run in 1 2 3 4 5; do
    status=0
    "$case/run.sh" > /dev/null || status=$?
    echo "$case run $run: status $status"
    if [ "$status" -eq 1 ]; then failed=$((failed + 1)); fi
  done
  echo "$case: failed $failed of 5"
  status=0
  TROUBLE=0 "$case/run.sh" > /dev/null || status=$?
  echo "$case without the disruption: status $status"
done
