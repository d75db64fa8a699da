#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
# it does the same without the disruption.
set -u
cd "$(dirname "$0")/../.." || exit 2
for program in target/fescuelatchd target/review-3; do
	if [ ! -x "$program" ]; then
		echo "$program is not built" >&2
		exit 2
	fi
done
exec target/review-3 names review/15/record.txt
