"""Digests of equal requests, regardless of the caller's request key, and of parts."""

from __future__ import annotations

from hashlib import blake2b

CONTENT_BYTES = 16


def digest_content(owner: str, host: str, target: bytes, body: bytes) -> bytes:
    """Return a digest that is equal for equal requests only.

    :param owner: workspace of the caller, empty if its route requires no key
    :param target: path and query
    :returns: ``CONTENT_BYTES`` bytes
    """
    return _digest(owner.encode(), host.encode(), target, body)


def digest_part(service: str, name: str) -> bytes:
    """Return a digest of a part of a prompt that is sent to a service.

    The same part has the same digest in the requests of all workspaces.

    :param name: name of the part
    :returns: ``CONTENT_BYTES`` bytes
    """
    return _digest(service.encode(), name.encode())


def _digest(*fields: bytes) -> bytes:
    digest = blake2b(digest_size=CONTENT_BYTES)
    for value in fields:
        # The lengths keep the boundaries between the fields unambiguous.
        digest.update(len(value).to_bytes(8, "big"))
        digest.update(value)
    return digest.digest()
