"""The fleet document: who shares which engines.

It travels on the same stream as the service documents, under the reserved
service name `document.FLEET`, so that one order of offsets decides both which
team owns a service and whether the guaranteed shares still fit.
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

# Some thousand services with a line each; see `document.MAX_BYTES`.
MAX_BYTES = 256 * 1024

# Shares such as 0.1 + 0.2 + 0.7 come to a hair more than 1 in binary
# fractions; no fleet is sized to a billionth.
FRACTION_TOLERANCE = 1e-9


@attrs.frozen(kw_only=True)
class FleetHeading:
    """Which fleet, and who may change its document.

    Attributes:
        format: Number of the rules that it is written for.
        name: The fleet's name.
        team: The team that keeps the fleet's document.
        newest_format: The newest rules that documents may be published
            under. It is raised after every daemon's release knows the rules.
    """

    format: int
    name: str
    team: str
    newest_format: int = document.LATEST_VALIDATION


@attrs.frozen(kw_only=True)
class Region:
    """Availability zones that are near to each other."""

    name: str
    zones: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Team:
    """A member team and the services that it owns."""

    name: str
    services: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Engines:
    """Like engines in one availability zone.

    Attributes:
        name: A name for the set.
        zone: The availability zone.
        count: How many engines.
        token_s_per_s: What each can hold in work, in token-seconds a second.
    """

    name: str
    zone: str
    count: int
    token_s_per_s: float


@attrs.frozen(kw_only=True)
class FleetDocument:
    """The fleet's document; sections are attributes, see their classes."""

    heading: FleetHeading
    regions: tuple[Region, ...]
    teams: tuple[Team, ...]
    engines: tuple[Engines, ...]

    @property
    def team(self) -> str:
        """The team that keeps the document."""
        return self.heading.team

    # Both are asked for at every publish.
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
        """What all engines can hold in work together."""
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
    """Reads a fleet document.

    Args:
        text: The document in INI.
        source: Where it came from, for the errors.

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
    """Returns the INI text that `parse_fleet` reads back equal."""
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
    """Whether guaranteed parts of a capacity fit it together.

    The sum is exact before it is rounded (`math.fsum`), so that the verdict
    does not depend on the order in which a daemon came by the documents.
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
                reason = f"{name!r} also stands under [{seen[name]}]"
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
