#!/usr/bin/env bash
# Builds the programs of this folder's scripts, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-kit ./review/_kit
