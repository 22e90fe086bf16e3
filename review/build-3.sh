#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain modules of Node: there is nothing
# to compile. The scripts start the program that the deploy file's build made.
set -e
cd "$(dirname "$0")/.."
for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
  node --check "$file"
done
test -f target/ryeworksd.mjs
