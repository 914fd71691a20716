#!/bin/sh
# Builds the stand-in of the scripts in review/6 to review/10. Run it after the build of
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/stage2 ./review/stage2
