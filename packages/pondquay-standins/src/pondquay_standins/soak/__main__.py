"""The command ``python -m pondquay_standins.soak``."""

from __future__ import annotations

import signal
import sys
from argparse import ArgumentParser, ArgumentTypeError
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from typing import TYPE_CHECKING

from pondquay_standins.soak.builds import CommitBuild, UnknownCommitError
from pondquay_standins.soak.runs import SoakResult, SoakRun
from pondquay_standins.soak.schedules import FaultKind
from pondquay_standins.soak.sizes import FleetSize

if TYPE_CHECKING:
    from argparse import Namespace
    from types import FrameType

    from pondquay_standins.soak.builds import Build

DEFAULT_FAULT_SECONDS = 10.0
EXIT_VIOLATION = 1
# By default these signals end the command without cleanup. Relays left running would
# then connect to the ports of the next fleet.
TERMINATION_SIGNALS = (signal.SIGHUP, signal.SIGTERM)
# Exit status of a command ended by signal N is 128 + N, as in shells.
SIGNAL_EXIT_BASE = 128


def install_signal_handlers() -> None:
    """Make termination signals raise ``SystemExit``, which ends child processes."""

    def raise_exit(signal_number: int, frame: FrameType | None) -> None:
        raise SystemExit(SIGNAL_EXIT_BASE + signal_number)

    for handled_signal in TERMINATION_SIGNALS:
        signal.signal(handled_signal, raise_exit)


def parse_seeds(text: str) -> list[int]:
    """Parse a seed such as ``3`` or an inclusive range of seeds such as ``1-50``.

    :raises ArgumentTypeError: if the text is neither
    """
    first, _, last = text.partition("-")
    try:
        return list(range(int(first), int(last or first) + 1))
    except ValueError:
        raise ArgumentTypeError("must be a number or a range such as 1-50") from None


def parse_kinds(text: str) -> list[FaultKind]:
    """Parse kinds of faults, which are separated by commas.

    :raises ArgumentTypeError: if one of them is unknown
    """
    try:
        return [FaultKind(kind) for kind in text.split(",")]
    except ValueError as error:
        raise ArgumentTypeError(str(error)) from None


def make_parser() -> ArgumentParser:
    """Return the argument parser of the command."""
    parser = ArgumentParser(
        prog="python -m pondquay_standins.soak",
        description="Inject random faults into real relays and check invariants.",
        epilog="logs of a seed that violates an invariant are kept under var/soak",
    )
    parser.add_argument("--seeds", type=parse_seeds, default=[1], metavar="N or N-M")
    parser.add_argument(
        "--seconds",
        type=float,
        default=DEFAULT_FAULT_SECONDS,
        help="how long faults are injected",
    )
    parser.add_argument(
        "--jobs", type=int, default=1, help="number of seeds to run in parallel"
    )
    parser.add_argument(
        "--from",
        dest="old_commit",
        metavar="COMMIT",
        help="start relays of this commit, upgrade them one by one, then downgrade",
    )
    parser.add_argument(
        "--kinds",
        type=parse_kinds,
        default=list(FaultKind),
        metavar="KIND,KIND",
        help="inject only these of the planned faults",
    )
    size = FleetSize()
    parser.add_argument("--relays", type=int, default=size.relays)
    parser.add_argument(
        "--more-replicas",
        type=int,
        default=size.more_replicas,
        help="number of replicas beyond the usual ones",
    )
    parser.add_argument(
        "--resting-callers",
        type=int,
        default=size.resting_callers,
        help="number of callers whose connections rest",
    )
    return parser


def run_seeds(options: Namespace, old_build: Build | None) -> list[SoakResult]:
    """Run all seeds, up to ``--jobs`` in parallel, and print each result.

    :param old_build: the build that relays start with, ``None`` for the current one
    :returns: the results in the order of the seeds
    """
    size = FleetSize(options.relays, options.more_replicas, options.resting_callers)

    def run_seed(seed: int) -> SoakResult:
        result = SoakRun(seed, options.seconds, old_build, size, options.kinds).run()
        print(result, flush=True)
        return result

    with ThreadPoolExecutor(options.jobs) as executor:
        return list(executor.map(run_seed, options.seeds))


def main(arguments: list[str] | None = None) -> int:
    """Run all seeds and print their results.

    :returns: exit status, 0 if all invariants held, 1 if not
    """
    parser = make_parser()
    options = parser.parse_args(arguments)
    with ExitStack() as stack:
        old_build = None
        if options.old_commit is not None:
            try:
                old_build = stack.enter_context(CommitBuild(options.old_commit))
            except UnknownCommitError as error:
                parser.error(f"--from {options.old_commit}: {error}")
        results = run_seeds(options, old_build)
    failed = [result.seed for result in results if result.violations]
    print(f"{len(results)} seeds, {len(failed)} violated an invariant: {failed}")
    return EXIT_VIOLATION if failed else 0


if __name__ == "__main__":
    install_signal_handlers()
    sys.exit(main())
