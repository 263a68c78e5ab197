"""Assembly of a streamed response from its frames."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame of a streamed response.

    :param stream: name of the stream, as the upstream returned it
    :param offset: number of frames before this one
    :param finish: reason why the response ends with this frame, empty if it continues
    """

    stream: str
    offset: int
    text: str
    finish: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0


class Verdict(StrEnum):
    """Result of a check of a frame: passed on, or dropped for a reason."""

    PASS_ON = "pass-on"
    FOREIGN = "foreign"
    REPEATED = "repeated"
    GAP = "gap"
    AFTER_END = "after-end"


@dataclass(slots=True)
class Response:
    """A response that is being received.

    Frames of other streams, repeated frames, and frames after a gap or after the end
    are dropped.

    :param stream: name of the stream whose frames form the response
    :param dropped: number of dropped frames by verdict
    """

    stream: str
    frames: list[Frame] = field(default_factory=list)
    dropped: dict[Verdict, int] = field(default_factory=dict)

    @property
    def next_offset(self) -> int:
        """The offset of the next expected frame."""
        return len(self.frames)

    @property
    def complete(self) -> bool:
        """Whether all frames including the last one have been received."""
        return bool(self.frames) and bool(self.frames[-1].finish)

    @property
    def text(self) -> str:
        """The text received so far."""
        return "".join(frame.text for frame in self.frames)

    def add_frame(self, frame: Frame) -> Verdict:
        """Append the frame if it is the next one, or drop it; return the verdict."""
        verdict = self._classify(frame)
        if verdict is Verdict.PASS_ON:
            self.frames.append(frame)
        else:
            self.dropped[verdict] = self.dropped.get(verdict, 0) + 1
        return verdict

    def _classify(self, frame: Frame) -> Verdict:
        if frame.stream != self.stream:
            return Verdict.FOREIGN
        if frame.offset < self.next_offset:
            return Verdict.REPEATED
        if self.complete:
            return Verdict.AFTER_END
        if frame.offset > self.next_offset:
            return Verdict.GAP
        return Verdict.PASS_ON
