"""Builds of the daemon: the current one and those of other commits."""

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

SOURCE_PATHS = ("packages/pondquay/src", "packages/pondquay-daemon/src", "platform/src")
ROUTING_PATH = Path("packages/pondquay/src/pondquay/routing")


class UnknownCommitError(Exception):
    """A Git command failed, for example because the commit does not exist."""


@dataclass(frozen=True, slots=True)
class Build:
    """A build of the daemon, and whether it has the features that the soak checks.

    :param name: the commit, or ``current``
    :param environment: extra environment variables of a relay that runs this build
    :param follows_signals: whether relays follow the signals in upstreams' responses
    :param shares_limits: whether relays share an upstream's rate limit among themselves
    :param keeps_versions: whether streams go on at one software version only
    """

    name: str
    environment: dict[str, str]
    follows_signals: bool = True
    shares_limits: bool = True
    keeps_versions: bool = True


CURRENT_BUILD = Build("current", {})


class CommitBuild(AbstractContextManager[Build]):
    """Context manager that checks out a commit into a temporary Git worktree."""

    def __init__(self, commit: str) -> None:
        self._commit = commit
        self._folder = tempfile.TemporaryDirectory(prefix="commit-build-")
        self._tree = Path(self._folder.name) / "tree"

    def __enter__(self) -> Build:
        """Check out the commit and return its build.

        :raises UnknownCommitError: if Git cannot check it out
        """
        self._run_git("worktree", "add", "--detach", str(self._tree), self._commit)
        paths = [str(self._tree / source) for source in SOURCE_PATHS]
        routing = self._tree / ROUTING_PATH
        # A commit has a feature if it has the module that implements it.
        return Build(
            self._commit,
            {"PYTHONPATH": os.pathsep.join(paths)},
            follows_signals=(routing / "knownupstreams.py").exists(),
            shares_limits=(routing / "ratelimits.py").exists(),
            keeps_versions=(routing / "streamorigins.py").exists(),
        )

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Remove the worktree.

        :raises UnknownCommitError: if Git cannot remove it
        """
        self._run_git("worktree", "remove", "--force", str(self._tree))
        self._folder.cleanup()

    def _run_git(self, *arguments: str) -> None:
        """Run a Git command.

        :raises UnknownCommitError: if it fails
        """
        completed = subprocess.run(
            ["git", *arguments], capture_output=True, text=True, check=False
        )
        if completed.returncode != 0:
            raise UnknownCommitError(f"git {arguments[0]}: {completed.stderr.strip()}")
