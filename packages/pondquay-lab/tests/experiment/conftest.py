from __future__ import annotations

import subprocess
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path

DEPLOY = '[roles.relay]\nrun = "python3 -m pondquay_daemon"\non = "edge"\n'
# The worth depends on the seed and on whether a policy is set; each run adds a line to
# the file "runs".
BENCH = """#!{python}
import json, pathlib, sys
args = sys.argv[1:]
seed = int(args[args.index("--seed") + 1])
worth = 0.5 + seed / 1000 + (0.1 if pathlib.Path("policy.ini").exists() else 0.0)
here = pathlib.Path(__file__).parent
with (here / "runs").open("a") as runs:
    print(*args, file=runs)
if args[2] == "never":
    sys.exit(3)
result = dict(name="digest", n=10, in_aim=6, late=2, refused=1, failed=0, not_owed=1)
report = dict(G=worth, breaks={{}}, prices=[["memory", 3.0, 0.01]], classes=[result])
path = pathlib.Path(args[args.index("--report") + 1])
path.write_text(json.dumps(report))
"""
PLAN = """[experiment]
bench = {folder}/bench
output = {folder}/out
days = busy calm
seeds = 0 1
jobs = 2

[sites]
small = {folder}/small.toml

[variant usual]

[variant no-loans]
borrow = off
"""


@dataclass
class ExperimentFolder:
    """A folder with a repository, a stub of the bench, a site and a plan."""

    folder: Path

    @property
    def plan(self) -> Path:
        return self.folder / "plan.ini"

    @property
    def output(self) -> Path:
        return self.folder / "out"

    def count_day_runs(self) -> int:
        return len((self.folder / "runs").read_text().splitlines())


@pytest.fixture
def experiment_folder(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> ExperimentFolder:
    """Create an experiment's folder, with its repository as the working directory."""
    repository = tmp_path / "repository"
    (repository / "deploy").mkdir(parents=True)
    (repository / "deploy" / "system.toml").write_text(DEPLOY)
    git = ["git", "-c", "user.name=t", "-c", "user.email=t@example.org"]
    for command in (["init", "-q"], ["add", "."], ["commit", "-q", "-m", "first"]):
        subprocess.run([*git, *command], cwd=repository, check=True)
    bench = tmp_path / "bench"
    bench.write_text(BENCH.format(python=sys.executable))
    bench.chmod(0o755)
    (tmp_path / "small.toml").write_text("")
    (tmp_path / "plan.ini").write_text(PLAN.format(folder=tmp_path))
    monkeypatch.chdir(repository)
    return ExperimentFolder(tmp_path)
