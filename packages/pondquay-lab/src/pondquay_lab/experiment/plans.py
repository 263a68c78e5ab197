"""Plans of experiments, which are INI files.

A plan has a section ``[experiment]``, a section ``[sites]`` with a name and a path for
each site, and a section ``[variant NAME]`` for each variant. The first variant is the
baseline of the comparison. Keys of a variant are ``revision``, the commit to run, and
fields of the relay's policy.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from pondquay.findings import Findings
from pondquay.ini import read_ini

if TYPE_CHECKING:
    from collections.abc import Mapping

    from pondquay.ini import IniDocument, IniSection

VARIANT_PREFIX = "variant "
REVISION_KEY = "revision"


class Variant(BaseModel):
    """One variant of the system.

    :param revision: the commit to run
    :param policy: settings of the relays' policy, as written in the plan
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    revision: str = "HEAD"
    policy: dict[str, str] = {}


class Plan(BaseModel):
    """The plan of an experiment.

    :param bench: the program that runs a day
    :param output: folder for checkouts, reports and results
    :param days: names of the days to run
    :param seeds: seeds with which each day is run
    :param jobs: number of days that run in parallel
    :param small: whether to run the reduced versions of large sites
    :param sites: path of each site's file
    :param variants: the variants to compare; the first is the baseline
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    bench: Path
    output: Path
    days: tuple[str, ...]
    seeds: tuple[int, ...] = (0,)
    jobs: Annotated[int, Field(ge=1)] = 1
    small: bool = False
    sites: dict[str, Path]
    variants: Annotated[tuple[Variant, ...], Field(min_length=1)]

    @field_validator("days", "seeds", mode="before")
    @classmethod
    def split_words(cls, text: object) -> object:
        """Split a text into a list of words."""
        return text.split() if isinstance(text, str) else text

    @field_validator("sites")
    @classmethod
    def check_sites(cls, sites: dict[str, Path]) -> dict[str, Path]:
        """Check that each path is a file."""
        for name, path in sites.items():
            if not path.is_file():
                raise ValueError(f"{name}: there is no file {path}")
        return sites


def load_plan(path: Path) -> Plan:
    """Read and validate a plan.

    :raises InvalidInputError: with all findings in the file
    :raises OSError: if the file cannot be read
    """
    findings = Findings()
    document = read_ini(path.read_text(), str(path), findings)
    findings.raise_if_any()
    values: dict[str, object] = dict(_read_section(document, "experiment"))
    values["sites"] = dict(_read_section(document, "sites"))
    values["variants"] = [
        _read_variant(section)
        for section in document.sections
        if section.name.startswith(VARIANT_PREFIX)
    ]
    try:
        return Plan.model_validate(values)
    except ValidationError as error:
        for details in error.errors():
            location = ".".join(str(part) for part in details["loc"])
            findings.add(str(path), location, details["msg"])
    findings.raise_if_any()
    raise AssertionError("unreachable")


def _read_section(document: IniDocument, name: str) -> Mapping[str, str]:
    section = document.find(name)
    return {} if section is None else section.values


def _read_variant(section: IniSection) -> dict[str, object]:
    policy = dict(section.values)
    revision = policy.pop(REVISION_KEY, "HEAD")
    name = section.name.removeprefix(VARIANT_PREFIX)
    return {"name": name, "revision": revision, "policy": policy}
