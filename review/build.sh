#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/, which is not part of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/rig ./review/_rig
