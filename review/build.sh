#!/usr/bin/env bash
# The stand-ins of the scripts are plain JavaScript for Node; there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.js [1-5]/*.js; do
  [ -e "$file" ] || continue
  node --check "$file"
done
