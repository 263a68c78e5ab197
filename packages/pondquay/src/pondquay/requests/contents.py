"""What a request is, whichever name its caller gives to the try."""

from __future__ import annotations

from hashlib import blake2b

CONTENT_BYTES = 16


def digest_content(owner: str, host: str, target: bytes, body: bytes) -> bytes:
    """Return what two tries have in common just if they are the same request.

    :param owner: workspace of the caller, empty if its route needs no key
    :param target: path and query
    :returns: ``CONTENT_BYTES`` bytes
    """
    digest = blake2b(digest_size=CONTENT_BYTES)
    for part in (owner.encode(), host.encode(), target, body):
        # Lengths, so that no byte counts for a neighbouring part.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
