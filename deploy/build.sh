#!/bin/sh
# Builds what the platform runs into target/deps, compiled ahead of the start.
# Libraries are installed anew only when their list changes; the project's own
# packages are always those of this checkout.
set -eu
deps=target/deps
lock=platform/requirements.lock
mkdir -p target
if ! cmp -s "$lock" target/installed.lock; then
  rm -rf "$deps"
  python3 -m pip install -q --target "$deps" -r "$lock"
  cp "$lock" target/installed.lock
fi
rm -rf "$deps/bulrushgrade" "$deps/bulrushgrade_daemon" \
  "$deps/bulrushgrade_platform"
cp -r packages/bulrushgrade/bulrushgrade \
  packages/bulrushgrade_daemon/bulrushgrade_daemon \
  platform/bulrushgrade_platform "$deps/"
python3 -m compileall -q -o 2 "$deps"
