"""Small stand-ins for the platform and the upstreams, and the load tool.

They exist for the demonstration, the tests and the measurements. Each is a program
of its own with switches for its faults.
"""

from __future__ import annotations
