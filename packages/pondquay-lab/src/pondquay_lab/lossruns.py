"""Runs of a fleet that loses all instances, or the table, on a short day.

Each run plays some workspaces whose prepaid tokens last for about 35 s of the usual
demand. Measured are the tokens that crashes make unavailable, and the served fraction
of the requests that the prepaid tokens could have paid: in all, from some seconds after
the return, and while the table is unreachable.

    python -m pondquay_lab.lossruns
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from pondquay.policy import DEFAULT_POLICY, RelayPolicy
from pondquay_lab.lossfleet import LossFleet, ModelRequest

LOSS_AT_SECONDS = 24.0
# Time from the loss until instances serve again, and from then until service is
# expected to be as before.
DOWNTIME_SECONDS = 2.0
RECOVERY_SECONDS = 12.0
END_SECONDS = 41.0
BURST_SECONDS = 10.0
# Requests per second of one workspace, and its prepaid tokens, for each instance.
REQUESTS_PER_SECOND = 0.31
PREPAID_TOKENS = 36_000
# Fraction of the requests with a long prompt; the others generate more output.
LONG_FRACTION = 0.23
LONG_PROMPT_TOKENS, LONG_OUTPUT_TOKENS, LONG_MAX_OUTPUT_TOKENS = 9_200, 52, 208
SHORT_PROMPT_TOKENS, SHORT_OUTPUT_TOKENS, SHORT_MAX_OUTPUT_TOKENS = 826, 287, 678
LONG_RUN_SECONDS, SHORT_RUN_SECONDS = 0.8, 2.5


@dataclass(frozen=True)
class LossScenario:
    """What happens on a day.

    :param instances: number of instances
    :param workspaces: number of workspaces, each with a budget of its own
    :param burst: factor of the usual traffic in the last seconds before the loss
    :param crashes: number of instances that crash at a time in seconds
    :param outage: seconds from and until which the table is unreachable
    :param cut: seconds from and until which each instance reaches neither the table
        nor another instance
    :param hot_fraction: fraction of the requests that reach one instance
    :param loses_all: whether all instances are lost
    """

    instances: int = 7
    workspaces: int = 20
    burst: float = 1.0
    crashes: dict[float, int] = field(default_factory=dict)
    outage: tuple[float, float] = (0.0, 0.0)
    cut: tuple[float, float] = (0.0, 0.0)
    hot_fraction: float = 0.0
    loses_all: bool = True

    @property
    def returns_at(self) -> float:
        """Time at which instances serve again after a loss of all."""
        return LOSS_AT_SECONDS + DOWNTIME_SECONDS

    def list_crashes(self) -> list[tuple[float, int]]:
        """Return the times and numbers of crashes in order of time."""
        all_at_once = {LOSS_AT_SECONDS: self.instances} if self.loses_all else {}
        return sorted({**self.crashes, **all_at_once}.items())


@dataclass
class Service:
    """Requests that the prepaid tokens could have paid, and those that were served."""

    affordable: int = 0
    served: int = 0

    def note(self, *, served: bool) -> None:
        """Count a request that could have been paid."""
        self.affordable += 1
        self.served += served

    @property
    def fraction(self) -> float:
        """The served fraction; 1 if nothing could have been paid."""
        return self.served / self.affordable if self.affordable else 1.0


@dataclass
class LossRunResult:
    """Sums over the workspaces of a run.

    :param late: requests that arrived after the time in which service is to recover
    :param outage: requests that arrived while the table was unreachable
    :param stranded_fraction: tokens that crashes made unavailable, relative to the
        prepaid ones
    """

    day: Service = field(default_factory=Service)
    late: Service = field(default_factory=Service)
    outage: Service = field(default_factory=Service)
    stranded_fraction: float = 0.0


def run_scenario(
    scenario: LossScenario, policy: RelayPolicy = DEFAULT_POLICY
) -> LossRunResult:
    """Play the day of each workspace; return the sums."""
    result = LossRunResult()
    prepaid = PREPAID_TOKENS * scenario.instances
    for seed in range(scenario.workspaces):
        fleet = LossFleet(
            prepaid, scenario.instances, seed, policy, scenario.hot_fraction
        )
        _play_day(fleet, scenario, result)
        stranded = fleet.stranded.headroom + fleet.stranded.reserved
        result.stranded_fraction += stranded / prepaid / scenario.workspaces
    return result


def _play_day(fleet: LossFleet, scenario: LossScenario, result: LossRunResult) -> None:
    random = Random(fleet.seed)
    crashes = scenario.list_crashes()
    outage_from, outage_until = scenario.outage
    cut_from, cut_until = scenario.cut
    now = 0.0
    while now < END_SECONDS:
        is_burst = LOSS_AT_SECONDS - BURST_SECONDS <= now < LOSS_AT_SECONDS
        rate = REQUESTS_PER_SECOND * fleet.size * (scenario.burst if is_burst else 1.0)
        now += random.expovariate(rate)
        while crashes and crashes[0][0] <= now:
            crash_at, number = crashes.pop(0)
            fleet.advance(crash_at)
            fleet.crash(number)
        request = draw_request(random)
        if scenario.loses_all and LOSS_AT_SECONDS <= now < scenario.returns_at:
            continue
        fleet.links_are_up = not cut_from <= now < cut_until
        fleet.store_is_up = fleet.links_are_up and not (
            outage_from <= now < outage_until
        )
        fleet.advance(now)
        affordable = fleet.can_afford(request)
        served = fleet.serve(request)
        if not affordable:
            continue
        result.day.note(served=served)
        if scenario.loses_all and now >= scenario.returns_at + RECOVERY_SECONDS:
            result.late.note(served=served)
        if not fleet.store_is_up:
            result.outage.note(served=served)


def draw_request(random: Random) -> ModelRequest:
    """Draw a request with a long prompt, or one with a short prompt and more output."""
    if random.random() < LONG_FRACTION:
        prompt = int(LONG_PROMPT_TOKENS * random.uniform(0.5, 1.8))
        return ModelRequest(
            prompt, LONG_OUTPUT_TOKENS, LONG_MAX_OUTPUT_TOKENS, LONG_RUN_SECONDS
        )
    prompt = int(SHORT_PROMPT_TOKENS * random.uniform(0.6, 1.8))
    output = int(SHORT_OUTPUT_TOKENS * random.uniform(0.2, 2.2))
    return ModelRequest(prompt, output, SHORT_MAX_OUTPUT_TOKENS, SHORT_RUN_SECONDS)


SCENARIOS = {
    "loss of all": LossScenario(),
    "crashes, loss of all": LossScenario(burst=1.4, crashes={20.0: 4}),
    "crashes in series, loss of all": LossScenario(
        burst=1.4, crashes={18.0: 2, 21.0: 2}
    ),
    "large burst, crashes, loss of all": LossScenario(burst=2.0, crashes={20.0: 4}),
    "early outage": LossScenario(outage=(8.0, 13.0), loses_all=False),
    "late outage": LossScenario(outage=(20.0, 25.0), loses_all=False),
    "outage, loss of all": LossScenario(burst=1.4, outage=(17.0, 21.0)),
    "loss of all, 86 instances": LossScenario(instances=86, workspaces=8),
    "early outage, 86 instances": LossScenario(
        instances=86, workspaces=8, outage=(8.0, 13.0), loses_all=False
    ),
    "loss of all, 20 instances": LossScenario(instances=20, workspaces=8),
    "loss of all, 195 instances": LossScenario(instances=195, workspaces=4),
    "skewed, loss of all, 86 instances": LossScenario(
        instances=86, workspaces=8, hot_fraction=0.5
    ),
    "all cut off": LossScenario(cut=(8.0, 12.0), loses_all=False),
    "all cut off, 86 instances": LossScenario(
        instances=86, workspaces=8, cut=(8.0, 12.0), loses_all=False
    ),
    "skewed, all cut off, 86 instances": LossScenario(
        instances=86, workspaces=8, cut=(8.0, 12.0), hot_fraction=0.5, loses_all=False
    ),
}


def main() -> None:
    """Print a table of all scenarios."""
    print(
        "scenario: stranded fraction; served fraction of the day, late, in the outage"
    )
    for name, scenario in SCENARIOS.items():
        result = run_scenario(scenario)
        fractions = (
            result.stranded_fraction,
            result.day.fraction,
            result.late.fraction,
            result.outage.fraction,
        )
        print(f"{name}:", *(f"{fraction:.3f}" for fraction in fractions))


if __name__ == "__main__":
    main()
