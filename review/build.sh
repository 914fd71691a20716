#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The daemon is built by the command
# of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/stage ./review/stage
