"""The relay forwards routed requests byte by byte to upstreams.

It serves any method and body by host and path, in addition to the chat completions of
the caller endpoint. A border plug-in defines the formats that callers, upstreams and
the store use; this package and the kernel decide what happens to a request.
"""

from __future__ import annotations
