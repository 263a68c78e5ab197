"""Plain responses that are collected take the memory that is accounted for."""

from __future__ import annotations

import tracemalloc
from typing import Any
from unittest.mock import Mock

from pondquay.routing.buffers import MAX_COLLECTED_BYTES, BufferPool
from pondquay_daemon.relay.plainresponses import PlainResponse

PIECE = b"x="
# A buffer that grows piece by piece has some room left.
MAX_OVERHEAD_FACTOR = 1.25


# Guards against short pieces that each take several times the memory of their bytes.
def test_a_body_in_short_pieces_takes_the_memory_that_is_accounted_for() -> None:
    response: Any = Mock()
    pool = BufferPool()
    plain = PlainResponse(response, pool.open_work())
    source = PIECE * (MAX_COLLECTED_BYTES // len(PIECE))
    tracemalloc.start()
    try:
        for start in range(0, len(source), len(PIECE)):
            assert not plain.add(source[start : start + len(PIECE)])
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert pool.total == MAX_COLLECTED_BYTES
    assert used <= MAX_OVERHEAD_FACTOR * pool.total
    assert plain.take() == source
    assert pool.total == 0
