"""The command ``python -m pondquay_lab.fuzz``: properties with fresh examples.

The check draws the same examples each time, so that it says the same to everyone. Here
each round runs all properties and state machines with another seed. What falsifies one
is printed as the test runner shows it, so that it can be kept as an explicit example.
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

MINUTES = 5.0
SECONDS_A_MINUTE = 60.0
MAX_SEED = 1_000_000
EXIT_FAILED = 1
# What pytest exits with where all passed, and where some failed.
PASSED, SOME_FAILED = 0, 1
COUNTS = re.compile(r"(\d+) (passed|failed|error)")


@dataclass(frozen=True, slots=True)
class Round:
    """What came of one round.

    :param output: what the test runner printed
    """

    seed: int
    passed: int
    failed: int
    output: str


class RoundError(Exception):
    """The test runner did not get to run the properties."""


def run_round(seed: int, jobs: int, paths: Sequence[str]) -> Round:
    """Run all properties once.

    :raises RoundError: if they could not be run
    """
    command = [sys.executable, "-m", "pytest", "-m", "hypothesis"]
    command += ["-p", "no:cacheprovider", "--hypothesis-profile=fuzz"]
    command += [f"--hypothesis-seed={seed}", "-n", str(jobs), *paths]
    done = subprocess.run(command, capture_output=True, text=True)
    if done.returncode not in (PASSED, SOME_FAILED):
        raise RoundError(f"exit {done.returncode}:\n{done.stdout}{done.stderr}")
    return read_round(seed, done.stdout)


def read_round(seed: int, output: str) -> Round:
    """Read the test runner's counts, which stand in its last line.

    :raises RoundError: if there are none
    """
    *_, last = ["", *output.strip().splitlines()]
    counts = {word: int(number) for number, word in COUNTS.findall(last)}
    if not counts:
        raise RoundError(f"no counts:\n{output}")
    failed = counts.get("failed", 0) + counts.get("error", 0)
    return Round(seed, counts.get("passed", 0), failed, output)


def run_rounds(
    first_seed: int,
    seconds: float,
    run: Callable[[int], Round],
    read_clock: Callable[[], float] = time.monotonic,
) -> list[Round]:
    """Run rounds until the time is over, at least one, and print each."""
    until = read_clock() + seconds
    rounds: list[Round] = []
    while not rounds or read_clock() < until:
        done = run(first_seed + len(rounds))
        rounds.append(done)
        if done.failed:
            print(done.output)
        verdict = f"{done.passed} passed, {done.failed} failed"
        print(f"seed {done.seed}: {verdict}", flush=True)
    return rounds


def parse_positive(text: str) -> float:
    """Read a positive number.

    :raises ArgumentTypeError: if the text is none
    """
    try:
        number = float(text)
    except ValueError:
        number = 0.0
    if not 0 < number < float("inf"):
        raise ArgumentTypeError("must be a positive number")
    return number


def main(arguments: list[str] | None = None) -> int:
    """Run rounds; the exit status tells whether a property was falsified."""
    parser = ArgumentParser(
        prog="python -m pondquay_lab.fuzz",
        description="Run all properties with fresh examples.",
        epilog="a seed that falsifies one does so again with --seed",
    )
    parser.add_argument("--minutes", type=parse_positive, default=MINUTES)
    parser.add_argument("--seed", type=int, default=None, help="of the first round")
    parser.add_argument("--jobs", type=int, default=4, help="tests at the same time")
    parser.add_argument("paths", nargs="*", help="tests, by default all")
    options = parser.parse_args(arguments)
    seed = randbelow(MAX_SEED) if options.seed is None else options.seed
    print(f"first seed {seed}", flush=True)
    rounds = run_rounds(
        seed,
        SECONDS_A_MINUTE * options.minutes,
        lambda one: run_round(one, options.jobs, options.paths),
    )
    failed = sum(one.failed for one in rounds)
    print(f"{sum(one.passed for one in rounds)} passed, {failed} failed")
    return EXIT_FAILED if failed else 0


if __name__ == "__main__":
    sys.exit(main())
