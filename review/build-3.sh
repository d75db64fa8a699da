#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. The daemons are those of the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_rig-3
