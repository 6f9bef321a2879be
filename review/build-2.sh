#!/bin/sh
# Builds the stand-ins and the harness of the second independent review into target/review-2.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/harness
