#!/usr/bin/env bash
# Builds the scripts of the cases, with all stand-ins that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
for entry in review/*/case.ts; do
  name="$(basename "$(dirname "$entry")")"
  node_modules/.bin/esbuild "$entry" --bundle --platform=node --format=esm \
    --target=node20 --outfile="target/review/$name.mjs" --log-level=warning \
    --banner:js="import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);"
done
