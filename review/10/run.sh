#!/usr/bin/env bash
# Runs the case once and writes record.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
if [ ! -x review/_rig-2/bin/rig-2 ] || [ ! -x target/fescuelatchd ]; then
	echo "run the build of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec review/_rig-2/bin/rig-2 evacuated review/10/record.txt
