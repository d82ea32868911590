#!/bin/sh
# Writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/filbertledge ] || [ ! -x target/review-2 ]; then
	echo "run the build line of deploy/system.toml and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-2 strangers review/6/record.txt
