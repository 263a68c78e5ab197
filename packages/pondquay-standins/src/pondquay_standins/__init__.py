"""Small stand-ins for the platform and the upstreams.

The demonstration, the tests and the measurements use them. Each stand-in runs as a
separate process and has switches for its faults.
"""

from __future__ import annotations
