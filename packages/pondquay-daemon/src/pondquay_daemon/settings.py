"""Settings of the daemon: an INI file, checked as a whole before anything starts."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from pondquay.addresses import Address
from pondquay.budgets.policies import GRANT_POLICIES
from pondquay.configuration.entities import DIGEST_PATTERN, NAME_PATTERN
from pondquay.findings import Findings, suggest_name
from pondquay.ini import read_ini
from pondquay.routing.policies import ROUTING_POLICIES

if TYPE_CHECKING:
    from pondquay.ini import IniDocument, IniSection

PARTNER_PREFIX = "partner "
MIN_SECRET_BYTES = 16


class Section(BaseModel):
    """Base of the sections of the settings file."""

    model_config = ConfigDict(frozen=True, extra="forbid")


class InstanceSection(Section):
    """Who the instance is and where it stands."""

    name: Annotated[str, Field(pattern=NAME_PATTERN)]
    domain: Annotated[str, Field(pattern=NAME_PATTERN)]


class ListenSection(Section):
    """Addresses that the instance listens on, each as ``host:port``."""

    callers: str
    operators: str
    peers: str
    metrics: str

    @field_validator("callers", "operators", "peers", "metrics")
    @classmethod
    def check_address(cls, text: str) -> str:
        """Refuse what is not an address."""
        Address.parse(text)
        return text


class PlatformSection(Section):
    """Where the platform's table service, object store and instance list are.

    :param timeout: seconds after which an answer counts as lost
    """

    url: Annotated[str, Field(pattern=r"^https?://")]
    timeout: Annotated[float, Field(gt=0, le=60)] = 2.0


class FleetSection(Section):
    """What the instances of one fleet share.

    :param key_file: file with the key by which instances recognise each other
    """

    key_file: Path

    @field_validator("key_file")
    @classmethod
    def check_key(cls, path: Path) -> Path:
        """Refuse a file that cannot be read or holds too short a key."""
        try:
            key = path.read_bytes().strip()
        except OSError as error:
            raise ValueError(f"cannot be read: {error.strerror}") from error
        if len(key) < MIN_SECRET_BYTES:
            raise ValueError(f"must hold at least {MIN_SECRET_BYTES} bytes")
        return path


class PoliciesSection(Section):
    """Plug-ins by the names under which they are registered."""

    routing: str = "prefix-affinity"
    grants: str = "proportional"

    @field_validator("routing")
    @classmethod
    def check_routing(cls, name: str) -> str:
        """Refuse a routing policy that is not registered."""
        return _check_registered(name, ROUTING_POLICIES.names())

    @field_validator("grants")
    @classmethod
    def check_grants(cls, name: str) -> str:
        """Refuse a grant policy that is not registered."""
        return _check_registered(name, GRANT_POLICIES.names())


class LimitsSection(Section):
    """Bounds of what the instance takes in.

    :param body_bytes: size of a caller's request
    :param queue_seconds: how long a request may wait for a place
    :param running: requests in flight at once
    :param stop_seconds: how long a planned stop waits for streams in progress
    """

    body_bytes: Annotated[int, Field(ge=1024, le=64 << 20)] = 1 << 20
    queue_seconds: Annotated[float, Field(gt=0, le=600)] = 10.0
    running: Annotated[int, Field(ge=1, le=100_000)] = 1000
    stop_seconds: Annotated[float, Field(gt=0, le=3600)] = 300.0


class LogsSection(Section):
    """What is logged: ``debug``, ``info``, ``warning`` or ``error`` and above."""

    level: Annotated[str, Field(pattern="^(debug|info|warning|error)$")] = "info"


class PartnerSection(Section):
    """A partner whose operators may use the operator endpoint.

    :param operator_key_digest: SHA-256 of the partner's operator key
    """

    operator_key_digest: Annotated[str, Field(pattern=DIGEST_PATTERN)]


class Settings(Section):
    """All settings of one instance."""

    instance: InstanceSection
    listen: ListenSection
    platform: PlatformSection
    fleet: FleetSection
    policies: PoliciesSection = PoliciesSection()
    limits: LimitsSection = LimitsSection()
    logs: LogsSection = LogsSection()
    partners: dict[str, PartnerSection] = {}

    def read_fleet_key(self) -> bytes:
        """Read the fleet's key from its file."""
        return self.fleet.key_file.read_bytes().strip()


SECTIONS: dict[str, type[Section]] = {
    "instance": InstanceSection,
    "listen": ListenSection,
    "platform": PlatformSection,
    "fleet": FleetSection,
    "policies": PoliciesSection,
    "limits": LimitsSection,
    "logs": LogsSection,
}
REQUIRED = ("instance", "listen", "platform", "fleet")


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises InvalidInputError: with everything that is wrong in it
    """
    findings = Findings()
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        findings.add(f"{path}:1", "file", f"cannot be read: {error}")
        findings.raise_if_any()
    document = read_ini(text, str(path), findings)
    findings.raise_if_any()
    sections = _read_sections(document, str(path), findings)
    partners = _read_partners(document, findings)
    findings.raise_if_any()
    return Settings.model_validate({**sections, "partners": partners})


def _read_sections(
    document: IniDocument, source: str, findings: Findings
) -> dict[str, Section]:
    sections: dict[str, Section] = {}
    for section in document.sections:
        if section.name.startswith(PARTNER_PREFIX):
            continue
        section_type = SECTIONS.get(section.name)
        if section_type is None:
            hint = suggest_name(section.name, SECTIONS)
            findings.add(section.location, section.name, f"unknown section{hint}")
            continue
        value = _read_section(section, section_type, findings)
        if value is not None:
            sections[section.name] = value
    for name in REQUIRED:
        if document.find(name) is None:
            findings.add(f"{source}:1", name, "section is missing")
    return sections


def _read_partners(document: IniDocument, findings: Findings) -> dict[str, Section]:
    partners: dict[str, Section] = {}
    for section in document.sections:
        if not section.name.startswith(PARTNER_PREFIX):
            continue
        value = _read_section(section, PartnerSection, findings)
        if value is not None:
            partners[section.name.removeprefix(PARTNER_PREFIX).strip()] = value
    return partners


def _read_section(
    section: IniSection, section_type: type[Section], findings: Findings
) -> Section | None:
    known = section_type.model_fields
    values: dict[str, Any] = {}
    for key, text in section.values.items():
        if key in known:
            values[key] = text
            continue
        location = section.describe_location(key)
        findings.add(
            location, f"{section.name}.{key}", f"unknown{suggest_name(key, known)}"
        )
    try:
        return section_type.model_validate(values)
    except ValidationError as error:
        for one in error.errors():
            key = str(one["loc"][0])
            location = section.describe_location(key)
            message = one["msg"].removeprefix("Value error, ")
            findings.add(location, f"{section.name}.{key}", message)
        return None


def _check_registered(name: str, names: list[str]) -> str:
    if name not in names:
        raise ValueError(
            f"must be one of {', '.join(names)}{suggest_name(name, names)}"
        )
    return name
