#!/bin/sh
# Runs a case five times with the disruption and once without it.
# Usage: review/runFive.sh N
cd "$(dirname "$0")/$1" || exit 2
for run in 1 2 3 4 5; do
  ./run.sh >/dev/null 2>&1
  echo "run $run: exit code $?"
done
TROUBLE=0 ./run.sh >/dev/null 2>&1
echo "without the disruption: exit code $?"
./run.sh >/dev/null 2>&1
