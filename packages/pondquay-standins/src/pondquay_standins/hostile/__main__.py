"""The command ``python -m pondquay_standins.hostile``."""

from __future__ import annotations

import sys
from argparse import ArgumentParser
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from dataclasses import replace
from typing import TYPE_CHECKING

from pondquay_standins.hostile.behaviours import list_behaviours
from pondquay_standins.hostile.crashcounts import run_crash_counts
from pondquay_standins.hostile.rejoins import (
    RejoinPlan,
    RejoinResult,
    list_rejoin_plans,
    run_rejoins,
)
from pondquay_standins.hostile.repeats import (
    RepeatsPlan,
    RepeatsResult,
    list_repeats_plans,
    run_repeats,
)
from pondquay_standins.hostile.runs import HostilePlan, HostileResult, run_plan
from pondquay_standins.soak.__main__ import install_signal_handlers
from pondquay_standins.soak.builds import CommitBuild

if TYPE_CHECKING:
    from argparse import Namespace
    from collections.abc import Sequence
    from typing import TypeAlias

    Plan: TypeAlias = HostilePlan | RepeatsPlan | RejoinPlan
    Result: TypeAlias = HostileResult | RepeatsResult | RejoinResult

DEFAULT_REQUESTS = 80
MAX_SHOWN = 5
# Behaviours whose responses pass through a gateway as well.
THROUGH_GATEWAY = (
    "mixture",
    "refusal",
    "refusal-copy-while",
    "refusal-reset-in-body",
    "closed-running",
    "reset-answer",
    "no-length",
    "freeze",
)
SIGNALS = ("SIGTERM", "SIGKILL", "SIGSTOP", "SIGHUP", "SIGKILL", "SIGTERM", "SIGSTOP")


def list_plans(seed: int, requests: int) -> list[HostilePlan]:
    """Return a plan for each behaviour, some also with gateways or signals."""
    plans = [HostilePlan((name,), seed, requests) for name in list_behaviours()]
    plans += [
        HostilePlan((name,), seed, requests, cut_off=True) for name in THROUGH_GATEWAY
    ]
    plans += [
        HostilePlan((name,), seed, 2 * requests, signals=SIGNALS)
        for name in ("sound", "mixture", "refusal-copy-while", "closed-running")
    ]
    plans += [
        HostilePlan((name,), seed, 2 * requests, cut_off=True, signals=SIGNALS)
        for name in ("sound", "mixture", "refusal-copy-while")
    ]
    return plans


def run_any(plan: Plan) -> Result:
    """Run a plan and print its result."""
    result = _run(plan)
    print(result, flush=True)
    for finding in result.findings[:MAX_SHOWN]:
        print(f"    {finding}", flush=True)
    if isinstance(result, HostileResult):
        for error in result.errors[:MAX_SHOWN]:
            print(f"    {error}", flush=True)
    return result


def _run(plan: Plan) -> Result:
    if isinstance(plan, RepeatsPlan):
        return run_repeats(plan)
    return run_rejoins(plan) if isinstance(plan, RejoinPlan) else run_plan(plan)


def run_crashes(seed: int) -> int:
    """Run both kinds of crashes and return the exit status."""
    passed = True
    for by_part in (False, True):
        result = run_crash_counts(by_part=by_part, seed=seed)
        print(result, flush=True)
        passed = passed and result.passed
    return 0 if passed else 1


def list_chosen(options: Namespace) -> Sequence[Plan]:
    """Return the plans that the options choose."""
    only = options.only
    if options.rejoins:
        rejoins = list_rejoin_plans(options.seed)
        return [plan for plan in rejoins if not only or plan.release in only]
    if options.repeats:
        repeats = list_repeats_plans(options.seed)
        return [plan for plan in repeats if not only or plan.behaviour in only]
    plans = list_plans(options.seed, options.requests)
    return [plan for plan in plans if not only or plan.behaviours[0] in only]


def main(arguments: list[str] | None = None) -> int:
    """Run behaviours and print what they broke.

    :returns: exit status, 0 if no rule was broken, 1 if one was
    """
    parser = ArgumentParser(prog="python -m pondquay_standins.hostile")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests", type=int, default=DEFAULT_REQUESTS)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument(
        "--repeats",
        action="store_true",
        help="move callers and replace relays while replicas fail, instead",
    )
    parser.add_argument(
        "--crashes",
        action="store_true",
        help="kill relays while requests crash replicas, instead",
    )
    parser.add_argument(
        "--rejoins",
        action="store_true",
        help="take streams up after all relays were killed at once, instead",
    )
    parser.add_argument("--only", nargs="*", help="names of behaviours or releases")
    parser.add_argument("--from", dest="commit", help="run relays of this commit")
    options = parser.parse_args(arguments)
    if options.crashes:
        return run_crashes(options.seed)
    plans = list_chosen(options)
    with ExitStack() as stack:
        if options.commit:
            build = stack.enter_context(CommitBuild(options.commit))
            plans = [replace(plan, environment=build.environment) for plan in plans]
        with ThreadPoolExecutor(options.jobs) as executor:
            results = list(executor.map(run_any, plans))
    broken = [result for result in results if result.findings]
    print(f"{len(results)} runs, {len(broken)} broke a rule")
    return 1 if broken else 0


if __name__ == "__main__":
    install_signal_handlers()
    sys.exit(main())
