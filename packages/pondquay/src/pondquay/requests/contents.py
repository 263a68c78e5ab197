"""Digests that identify equal requests, regardless of the caller's request key."""

from __future__ import annotations

from hashlib import blake2b

CONTENT_BYTES = 16


def digest_content(owner: str, host: str, target: bytes, body: bytes) -> bytes:
    """Return a digest that is equal for equal requests only.

    :param owner: workspace of the caller, empty if its route requires no key
    :param target: path and query
    :returns: ``CONTENT_BYTES`` bytes
    """
    digest = blake2b(digest_size=CONTENT_BYTES)
    for part in (owner.encode(), host.encode(), target, body):
        # The lengths keep the boundaries between the parts unambiguous.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
