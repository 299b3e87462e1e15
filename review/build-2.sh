#!/bin/bash
# Builds the stand-ins of the cases 4 and up, after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/parties"
mkdir -p ../../target
go build -o ../../target/review-parties .
