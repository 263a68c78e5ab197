"""Routes: the service and the handling of a request by host and path."""

from __future__ import annotations
