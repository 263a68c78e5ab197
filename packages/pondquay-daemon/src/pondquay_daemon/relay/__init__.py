"""The relay: routed requests passed on byte by byte to upstreams.

It serves any method and body by host and path, beside the chat completions of the
caller endpoint. What it speaks to callers, upstreams and the store in detail is told by
a border plug-in; what happens to a request is decided here and in the kernel.
"""

from __future__ import annotations
