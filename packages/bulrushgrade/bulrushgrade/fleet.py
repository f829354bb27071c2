"""The fleet document: teams, their services, and the engines they share.

It is published on the same stream as the service documents, under the reserved
service name `document.FLEET`. A single order of offsets therefore determines
both which team owns a service and whether the guaranteed shares fit.
"""

from collections.abc import Iterable
import functools
import math

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import document
from bulrushgrade import errors
from bulrushgrade import ini

# Room for several thousand services with one line each; see
# `document.MAX_BYTES` for why size is limited.
MAX_BYTES = 256 * 1024

# Tolerance for floating-point error: fractions such as 0.1, 0.2 and 0.7 can add
# up to slightly more than 1. No fleet is sized to a billionth.
FRACTION_TOLERANCE = 1e-9


@attrs.frozen(kw_only=True)
class FleetHeading:
    """The section that identifies the fleet and the document's owner.

    Attributes:
        format: Number of the validation rules that the document follows.
        name: The fleet's name.
        team: The team that owns the fleet document.
        newest_format: Number of the newest validation rules that documents may
            be published under. It may only be raised once every daemon runs a
            release that supports the rules.
    """

    format: int
    name: str
    team: str
    newest_format: int = document.LATEST_VALIDATION


@attrs.frozen(kw_only=True)
class Region:
    """A group of availability zones close to each other."""

    name: str
    zones: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Team:
    """A team and the services that it owns."""

    name: str
    services: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Engines:
    """Identical engines in one availability zone.

    Attributes:
        name: The name of this set of engines.
        zone: The availability zone.
        count: The number of engines.
        token_s_per_s: Capacity per engine in token-seconds per second.
    """

    name: str
    zone: str
    count: int
    token_s_per_s: float


@attrs.frozen(kw_only=True)
class FleetDocument:
    """A parsed fleet document, with one attribute per kind of section."""

    heading: FleetHeading
    regions: tuple[Region, ...]
    teams: tuple[Team, ...]
    engines: tuple[Engines, ...]

    @property
    def team(self) -> str:
        """The team that owns the fleet document."""
        return self.heading.team

    # The two properties below are cached, as every publish needs them.
    @functools.cached_property
    def owners(self) -> dict[str, str]:
        """The owning team's name by service."""
        return {
            service: team.name
            for team in self.teams
            for service in team.services
        }

    @functools.cached_property
    def capacity_token_s_per_s(self) -> float:
        """The total capacity of all engines."""
        return math.fsum(e.count * e.token_s_per_s for e in self.engines)


SCHEMA = (
    ini.Section(
        name="fleet",
        factory=FleetHeading,
        keys=(
            document.FORMAT_KEY,
            document.name_key("name"),
            document.name_key("team"),
            ini.number_key(
                "newest_format",
                low=1,
                high=1000,
                integer=True,
                default=document.LATEST_VALIDATION,
            ),
        ),
    ),
    ini.Section(
        name="region",
        factory=Region,
        named=True,
        keys=(ini.list_key("zones", pattern=document.NAME, expected="names"),),
    ),
    ini.Section(
        name="team",
        factory=Team,
        named=True,
        keys=(
            ini.list_key(
                "services", pattern=document.NAME, expected="names", default=()
            ),
        ),
    ),
    ini.Section(
        name="engines",
        factory=Engines,
        named=True,
        required=False,
        keys=(
            document.name_key("zone"),
            ini.number_key("count", low=0, high=100_000, integer=True),
            ini.number_key("token_s_per_s", low=0, high=1e9),
        ),
    ),
)


def parse_fleet(
    text: str, *, source: str
) -> Result[FleetDocument, tuple[errors.DocumentError, ...]]:
    """Parses a fleet document.

    Args:
        text: The document in INI.
        source: The text's origin, for error messages.

    Returns:
        The document, or every error in it.
    """
    parsed = ini.parse_sections(
        text, source=source, schema=SCHEMA, max_bytes=MAX_BYTES
    )
    _check_team(parsed)
    _check_unique(parsed, "region", "zones")
    _check_unique(parsed, "team", "services")
    _check_zones(parsed)
    if parsed.found_errors:
        return Failure(tuple(parsed.found_errors))
    return Success(
        FleetDocument(
            heading=parsed.single("fleet"),
            regions=parsed.objects["region"],
            teams=parsed.objects["team"],
            engines=parsed.objects["engines"],
        )
    )


def serialize_fleet(fleet: FleetDocument) -> str:
    """Returns the INI text that `parse_fleet` parses to an equal object."""
    return ini.serialize_sections(
        SCHEMA,
        {
            "fleet": (fleet.heading,),
            "region": fleet.regions,
            "team": fleet.teams,
            "engines": fleet.engines,
        },
    )


def fractions_fit(fractions: Iterable[float]) -> bool:
    """Whether guaranteed fractions of a capacity add up to at most 1.

    `math.fsum` rounds only once, so the result does not depend on the order in
    which a daemon received the documents.
    """
    return math.fsum(fractions) <= 1.0 + FRACTION_TOLERANCE


def _check_team(parsed: ini.Parsed) -> None:
    heading, teams = parsed.single("fleet"), parsed.names.get("team", ())
    if heading is not None and heading.team not in teams:
        expected = "a team with a section of its own"
        parsed.add_error("fleet", "team", f"no team {heading.team!r}", expected)


def _check_unique(parsed: ini.Parsed, kind: str, key: str) -> None:
    seen: dict[str, str] = {}
    for instance in parsed.objects.get(kind, ()):
        header = f"{kind} {instance.name}"
        for name in getattr(instance, key):
            if name in seen:
                reason = f"{name!r} is also listed in [{seen[name]}]"
                parsed.add_error(header, key, reason, "each name once")
            if name == document.FLEET:
                parsed.add_error(header, key, "reserved name", "another name")
            seen.setdefault(name, header)


def _check_zones(parsed: ini.Parsed) -> None:
    regions = parsed.objects.get("region", ())
    if len(regions) < len(parsed.names.get("region", ())):
        return
    zones = {zone for region in regions for zone in region.zones}
    for engines in parsed.objects.get("engines", ()):
        if engines.zone not in zones:
            reason = f"no availability zone {engines.zone!r}"
            expected = "a zone that a region lists"
            parsed.add_error(
                f"engines {engines.name}", "zone", reason, expected
            )
