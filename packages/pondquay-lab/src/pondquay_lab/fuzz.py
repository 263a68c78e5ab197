"""The command ``python -m pondquay_lab.fuzz``: run property tests with new seeds.

The usual test run is derandomized. Here each round runs all property tests and state
machines with another seed. The output of a failed round is printed, so that the
falsifying example can be added to the test explicitly.
"""

from __future__ import annotations

import re
import subprocess
import sys
import time
from argparse import ArgumentParser, ArgumentTypeError
from dataclasses import dataclass
from secrets import randbelow
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

DEFAULT_MINUTES = 5.0
SECONDS_PER_MINUTE = 60.0
MAX_SEED = 1_000_000
EXIT_FAILED = 1
# Exit statuses of pytest if all tests passed and if some failed.
PYTEST_PASSED, PYTEST_FAILED = 0, 1
COUNT_PATTERN = re.compile(r"(\d+) (passed|failed|error)")


@dataclass(frozen=True, slots=True)
class Round:
    """The result of one round.

    :param output: output of pytest
    """

    seed: int
    passed: int
    failed: int
    output: str


class RoundError(Exception):
    """The property tests could not be run, or their counts could not be read."""


def run_round(seed: int, jobs: int, paths: Sequence[str]) -> Round:
    """Run all property tests once.

    :param jobs: number of parallel test processes
    :param paths: tests to run, all if empty
    :raises RoundError: if pytest could not run the tests
    """
    command = [sys.executable, "-m", "pytest", "-m", "hypothesis"]
    command += ["-p", "no:cacheprovider", "--hypothesis-profile=fuzz"]
    command += [f"--hypothesis-seed={seed}", "-n", str(jobs), *paths]
    process = subprocess.run(command, capture_output=True, text=True)
    if process.returncode not in (PYTEST_PASSED, PYTEST_FAILED):
        raise RoundError(
            f"pytest exited with {process.returncode}:\n"
            f"{process.stdout}{process.stderr}"
        )
    return read_round(seed, process.stdout)


def read_round(seed: int, output: str) -> Round:
    """Parse the test counts in the last line of pytest's output.

    :raises RoundError: if the line has no counts
    """
    *_, last = ["", *output.strip().splitlines()]
    counts = {outcome: int(number) for number, outcome in COUNT_PATTERN.findall(last)}
    if not counts:
        raise RoundError(f"pytest printed no test counts:\n{output}")
    failed = counts.get("failed", 0) + counts.get("error", 0)
    return Round(seed, counts.get("passed", 0), failed, output)


def run_rounds(
    first_seed: int,
    seconds: float,
    run: Callable[[int], Round],
    read_clock: Callable[[], float] = time.monotonic,
) -> list[Round]:
    """Run at least one round, start others until the time is up, and print the results.

    :param seconds: time after which no further round starts
    :param run: runs one round with a seed
    """
    deadline = read_clock() + seconds
    rounds: list[Round] = []
    while not rounds or read_clock() < deadline:
        result = run(first_seed + len(rounds))
        rounds.append(result)
        if result.failed:
            print(result.output)
        counts = f"{result.passed} passed, {result.failed} failed"
        print(f"seed {result.seed}: {counts}", flush=True)
    return rounds


def parse_positive(text: str) -> float:
    """Parse a positive number.

    :raises ArgumentTypeError: if the text is not a positive finite number
    """
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < float("inf"):
        raise ArgumentTypeError("must be a positive number")
    return number


def main(arguments: list[str] | None = None) -> int:
    """Run rounds and return the exit status, 0 if all tests passed."""
    parser = ArgumentParser(
        prog="python -m pondquay_lab.fuzz",
        description="Run all property tests with new seeds.",
        epilog="to reproduce a failure, pass the printed seed with --seed",
    )
    parser.add_argument("--minutes", type=parse_positive, default=DEFAULT_MINUTES)
    parser.add_argument(
        "--seed", type=int, default=None, help="the seed of the first round"
    )
    parser.add_argument(
        "--jobs", type=int, default=4, help="the number of parallel test processes"
    )
    parser.add_argument("paths", nargs="*", help="the tests to run, by default all")
    options = parser.parse_args(arguments)
    seed = randbelow(MAX_SEED) if options.seed is None else options.seed
    print(f"first seed {seed}", flush=True)
    rounds = run_rounds(
        seed,
        SECONDS_PER_MINUTE * options.minutes,
        lambda round_seed: run_round(round_seed, options.jobs, options.paths),
    )
    failed = sum(result.failed for result in rounds)
    print(f"{sum(result.passed for result in rounds)} passed, {failed} failed")
    return EXIT_FAILED if failed else 0


if __name__ == "__main__":
    sys.exit(main())
