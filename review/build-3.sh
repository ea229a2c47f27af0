#!/bin/sh
# Builds the scripts of the cases 11 to 15 with their stand-ins, after the build of the
# deploy file, which has installed the packages. Needs no network.
set -eu
cd "$(dirname "$0")/.."
bundle() {
  node_modules/.bin/esbuild "$1" --bundle --platform=node --format=esm \
    --target=node20 --log-level=warning --outfile="target/review-3/$2.mjs" \
    --banner:js="import {createRequire as bundleRequire} from 'node:module'; const require = bundleRequire(import.meta.url);"
}
for folder in review/1[1-5]; do
  [ -f "$folder/case.ts" ] || continue
  bundle "$folder/case.ts" "$(basename "$folder")"
done
