#!/usr/bin/env bash
# The stand-ins are plain scripts: only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs */run.mjs; do
  node --check "$file"
done
