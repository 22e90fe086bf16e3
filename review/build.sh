#!/bin/sh
# The stand-ins of the cases are plain JavaScript for Node and need no build;
# this checks that they can be read.
cd "$(dirname "$0")" || exit 1
for file in lib/*.mjs [0-9]/*.mjs; do
  node --check "$file" || exit 1
done
