"""Frames of an answer: what belongs to it, and whether it is whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Frame:
    """A piece of an answer.

    :param stream: the stream's name as the upstream echoed it
    :param offset: how many pieces came before
    :param finish: why the answer ends here, empty if it does not
    """

    stream: str
    offset: int
    text: str
    finish: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0


class Verdict(StrEnum):
    """What is to be done with a frame."""

    PASS_ON = "pass-on"
    FOREIGN = "foreign"
    REPEATED = "repeated"
    GAP = "gap"
    AFTER_END = "after-end"


@dataclass(slots=True)
class Response:
    """One answer as it comes in; frames of others, repeats and gaps are dropped.

    :param stream: the only stream whose frames belong to it
    """

    stream: str
    frames: list[Frame] = field(default_factory=list)
    dropped: dict[Verdict, int] = field(default_factory=dict)

    @property
    def next_offset(self) -> int:
        """The offset of the piece that must come next."""
        return len(self.frames)

    @property
    def complete(self) -> bool:
        """Whether the end has come, with every piece before it."""
        return bool(self.frames) and bool(self.frames[-1].finish)

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(frame.text for frame in self.frames)

    def add_frame(self, frame: Frame) -> Verdict:
        """Take in a frame and say whether it may be passed on."""
        verdict = self._judge(frame)
        if verdict is Verdict.PASS_ON:
            self.frames.append(frame)
        else:
            self.dropped[verdict] = self.dropped.get(verdict, 0) + 1
        return verdict

    def _judge(self, frame: Frame) -> Verdict:
        if frame.stream != self.stream:
            return Verdict.FOREIGN
        if frame.offset < self.next_offset:
            return Verdict.REPEATED
        if self.complete:
            return Verdict.AFTER_END
        if frame.offset > self.next_offset:
            return Verdict.GAP
        return Verdict.PASS_ON
