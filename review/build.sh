#!/bin/sh
# Builds the stand-ins of the review's scripts. Run it after the build line of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin ./review/standin
