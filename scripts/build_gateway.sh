#!/bin/sh
# Installs a gateway's libraries and the package, with compiled bytecode, into target/deps.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/deps/.installed -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    touch target/deps/.installed
fi
rm -rf target/deps/milletcourse
cp -R src/milletcourse target/deps/milletcourse
python3 -m compileall -q target/deps/milletcourse
