#!/bin/sh
# Builds the stand-ins that the scripts start into target/review. The build of
# deploy/system.toml has to run first: the stand-ins use its libraries.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || {
  echo "target/deps is missing: run deploy/build.sh first" >&2
  exit 1
}
rm -rf target/review
mkdir -p target/review
cp -r platform/bulrushgrade_platform_standins review/common/review_standins \
  target/review/
python3 -m compileall -q target/review
