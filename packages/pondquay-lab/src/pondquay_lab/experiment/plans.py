"""What an experiment compares: an INI file, checked as a whole.

A plan has a section ``[experiment]``, a section ``[sites]`` with a name and a path for
each site, and a section ``[variant NAME]`` for each variant. The first variant is the
one that the others are compared with. Keys of a variant are ``revision``, the commit
that is played, and fields of the relay's policy.
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
REVISION = "revision"


class Variant(BaseModel):
    """One variant of the system.

    :param revision: the commit that is played
    :param policy: what its relays switch or set, as written in the plan
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    name: Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]*$")]
    revision: str = "HEAD"
    policy: dict[str, str] = {}


class Plan(BaseModel):
    """All that an experiment plays.

    :param bench: the program that plays a day
    :param output: folder for checkouts, reports and results
    :param jobs: days that are played at the same time
    :param small: whether to play the small twins of large sites
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
    def split(cls, text: object) -> object:
        """Take words of a text as a list."""
        return text.split() if isinstance(text, str) else text

    @field_validator("sites")
    @classmethod
    def check_sites(cls, sites: dict[str, Path]) -> dict[str, Path]:
        """Refuse paths where no file is."""
        for name, path in sites.items():
            if not path.is_file():
                raise ValueError(f"{name}: there is no file {path}")
        return sites


def load_plan(path: Path) -> Plan:
    """Read a plan.

    :raises InvalidInputError: with everything that is wrong in it
    """
    findings = Findings()
    document = read_ini(path.read_text(), str(path), findings)
    findings.raise_if_any()
    values: dict[str, object] = dict(_values_of(document, "experiment"))
    values["sites"] = dict(_values_of(document, "sites"))
    values["variants"] = [
        _read_variant(one)
        for one in document.sections
        if one.name.startswith(VARIANT_PREFIX)
    ]
    try:
        return Plan.model_validate(values)
    except ValidationError as error:
        for found in error.errors():
            where = ".".join(str(part) for part in found["loc"])
            findings.add(str(path), where, found["msg"])
    findings.raise_if_any()
    raise AssertionError("unreachable")


def _values_of(document: IniDocument, name: str) -> Mapping[str, str]:
    section = document.find(name)
    return {} if section is None else section.values


def _read_variant(section: IniSection) -> dict[str, object]:
    policy = dict(section.values)
    revision = policy.pop(REVISION, "HEAD")
    name = section.name.removeprefix(VARIANT_PREFIX)
    return {"name": name, "revision": revision, "policy": policy}
