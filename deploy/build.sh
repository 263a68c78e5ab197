#!/bin/sh
# Puts the libraries that run and the workspace's own packages under target/deps.
set -eu
deps=target/deps
stamp=target/requirements.stamp
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps" "$stamp"
    python3 -m pip install -q -U --no-deps --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps/pondquay" "$deps/pondquay_daemon" "$deps/pondquay_platform"
cp -R packages/pondquay/src/pondquay "$deps/"
cp -R packages/pondquay-daemon/src/pondquay_daemon "$deps/"
cp -R platform/src/pondquay_platform "$deps/"
python3 -m compileall -q "$deps/pondquay" "$deps/pondquay_daemon" "$deps/pondquay_platform"
