from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from pondquay.requests.contents import CONTENT_BYTES, digest_content

TEXT = st.text(st.characters(codec="utf-8"), max_size=4)
CONTENT = st.tuples(TEXT, TEXT, st.binary(max_size=4), st.binary(max_size=4))


@given(CONTENT, CONTENT)
def test_digests_are_equal_only_for_equal_requests(
    first: tuple[str, str, bytes, bytes], second: tuple[str, str, bytes, bytes]
) -> None:
    digests = digest_content(*first), digest_content(*second)
    assert (digests[0] == digests[1]) == (first == second)
    assert len(digests[0]) == CONTENT_BYTES
