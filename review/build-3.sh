#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 are plain modules of the runtime: there is nothing to build, only to check.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs; do
  node --check "$file"
done
