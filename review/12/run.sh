#!/bin/sh
# A core machine is replaced as planned, and another one loses its disk a second later.
# TROUBLE=0 leaves the disk as it is.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/oriolepost ] && [ -x target/review-3 ] || exit 2
exec timeout -k 5 110 target/review-3 replaced "$here/record.txt"
