#!/bin/sh
# Builds the stand-ins of the second review: plain Python without dependencies, which is only checked.
# Needs no network; the gateways come from the build of the deploy file (target/deps).
set -eu
cd "$(dirname "$0")"
for file in lib-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py lib-2/token_usage.py; do
    [ ! -e "$file" ] || python3 -c "compile(open('$file').read(), '$file', 'exec')"
done
test -d ../target/deps/milletcourse || echo "target/deps is missing: run the build of deploy/system.toml"
