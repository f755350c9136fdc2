#!/usr/bin/env bash
# Builds the programs of the cases, which hold every stand-in that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for n in 1 2 3; do
  if [ -d "review/$n" ]; then
    go build -buildvcs=false -o "review/bin/case$n" "./review/$n"
  fi
done
