#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. The project's own programs are built by the
# build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-3 ./review/standin3
