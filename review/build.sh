#!/bin/sh
# Builds the stand-ins that the scripts of the review start. Run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins ./review/_standins
