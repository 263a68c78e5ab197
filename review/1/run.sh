#!/bin/sh
# Exits with 1 if a request that is not idempotent ran twice, with 0 if none did, and
# with 2 if the case could not run. TROUBLE=0 leaves the faulty replica's copies out.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
