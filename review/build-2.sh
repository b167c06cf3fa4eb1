#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are plain modules of the
# runtime under review/stand-ins-2, which need no compiler: this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
for module in cell.mjs store.mjs worker.mjs; do
  node --check "$module"
done
