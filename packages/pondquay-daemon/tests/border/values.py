"""Values shared by the border's tests."""

from __future__ import annotations

from typing import Any

from hypothesis import strategies as st


def make_row(**fields: Any) -> dict[str, Any]:
    """Return a valid row of an upstream with some fields replaced."""
    return {
        "service": "s-1",
        "address": "10.128.0.9:8080",
        "zone": "hall-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 4,
        "born": 1_777_664_844_097,
        **fields,
    }


def json_values() -> st.SearchStrategy[Any]:
    """Generate any JSON value, including extreme numbers and long or unusual texts."""
    texts = st.one_of(st.text(), st.sampled_from(["../..", "a/b", "x" * 5000, "\0"]))
    numbers = st.one_of(
        st.integers(), st.floats(), st.sampled_from([10**400, -(2**63), 2**64, -0.0])
    )
    scalars = st.one_of(st.none(), st.booleans(), numbers, texts)
    return st.recursive(
        scalars,
        lambda children: st.one_of(
            st.lists(children, max_size=4), st.dictionaries(texts, children, max_size=4)
        ),
        max_leaves=12,
    )
