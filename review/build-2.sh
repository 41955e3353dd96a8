#!/bin/sh
# Builds the stand-ins that the scripts of the second review (cases 4 to 8) start. Run after the build of the deploy
# file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standins-2 ./review/_standins-2
