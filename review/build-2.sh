#!/usr/bin/env bash
# Builds the rig of the second review's scripts: clients, workers, links and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/_rig-2/bin
go build -o review/_rig-2/bin/rig-2 ./review/_rig-2
