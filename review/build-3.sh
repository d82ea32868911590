#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it after the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review3 ./review/_kit3
