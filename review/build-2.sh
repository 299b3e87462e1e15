#!/bin/bash
# Builds the stand-ins of the cases 4 and up. Runs in the repository's root, after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-parties ./review/parties
