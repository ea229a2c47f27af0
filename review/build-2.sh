#!/usr/bin/env bash
# Checks the stand-ins of the cases 6 to 10. They are plain JavaScript that needs no build
# and no package; the hosts are built by the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in support-2/*.js [6-9]/case.js 10/case.js; do
  [ ! -e "$file" ] || node --check "$file"
done
