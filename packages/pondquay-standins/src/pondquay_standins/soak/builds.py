"""Another build of the daemon, from the repository's own history."""

from __future__ import annotations

import os
import subprocess
import tempfile
from contextlib import AbstractContextManager
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import TracebackType

# Where a build's own sources lie in its tree.
SOURCES = ("packages/pondquay/src", "packages/pondquay-daemon/src", "platform/src")
ROUTING = Path("packages/pondquay/src/pondquay/routing")


class UnknownCommitError(Exception):
    """The repository has no such commit, or is none."""


@dataclass(frozen=True, slots=True)
class Build:
    """A build and which promises it knows.

    :param environment: with which a relay of it is started
    :param heeds_answers: whether it heeds what upstreams say of themselves in answers
    :param shares_limits: whether it shares what an upstream takes from all instances
    """

    name: str
    environment: dict[str, str]
    heeds_answers: bool = True
    shares_limits: bool = True


PRESENT_BUILD = Build("present", {})


class FormerBuild(AbstractContextManager[Build]):
    """A work tree of a commit for as long as relays of it run."""

    def __init__(self, commit: str) -> None:
        self._commit = commit
        self._folder = tempfile.TemporaryDirectory(prefix="former-build-")
        self._tree = Path(self._folder.name) / "tree"

    def __enter__(self) -> Build:
        """Check the commit out.

        :raises UnknownCommitError: if there is none
        """
        self._run_git("worktree", "add", "--detach", str(self._tree), self._commit)
        paths = [str(self._tree / source) for source in SOURCES]
        routing = self._tree / ROUTING
        return Build(
            self._commit,
            {"PYTHONPATH": os.pathsep.join(paths)},
            heeds_answers=(routing / "knownupstreams.py").exists(),
            shares_limits=(routing / "ratelimits.py").exists(),
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Remove the work tree."""
        self._run_git("worktree", "remove", "--force", str(self._tree))
        self._folder.cleanup()

    def _run_git(self, *arguments: str) -> None:
        done = subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=False
        )
        if done.returncode != 0:
            raise UnknownCommitError(f"git {arguments[0]}: {done.stderr.strip()}")
