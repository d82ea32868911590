#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The build line of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_kit2
