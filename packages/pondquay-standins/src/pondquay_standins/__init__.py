"""Small stand-ins for the platform and the upstreams.

The demonstration, the tests and the benchmarks use them. Each stand-in runs as a
separate process and simulates faults on request.
"""

from __future__ import annotations
