#!/bin/sh
# Exits with 1 if a client got a cut answer as complete, with 0 if none did, and
# with 2 if the case could not run. TROUBLE=0 leaves the cut answers out.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
