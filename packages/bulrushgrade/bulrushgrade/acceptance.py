"""Whether a publish is accepted: one pure function of the fold's state.

Every daemon judges every publish by itself, so nothing here may depend on the
host, the time or the release. Rules are numbered; a publish names the number
that it is to be judged by, and the fleet's document says up to which number
the daemons have been upgraded.
"""

from collections.abc import Callable
from collections.abc import Mapping

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import document
from bulrushgrade import errors
from bulrushgrade import fleet
from bulrushgrade import publication


@attrs.frozen(kw_only=True)
class Rules:
    """The rules of one number: how texts are read and checked."""

    parse_service: Callable[
        ..., Result[document.ServiceDocument, tuple[errors.DocumentError, ...]]
    ]
    parse_fleet: Callable[
        ..., Result[fleet.FleetDocument, tuple[errors.DocumentError, ...]]
    ]


RULES: Mapping[int, Rules] = {
    1: Rules(
        parse_service=document.parse_document, parse_fleet=fleet.parse_fleet
    )
}


@attrs.frozen(kw_only=True)
class Judgement:
    """A verdict, with the parsed document where the text could be read."""

    verdict: publication.Verdict
    parsed: document.ServiceDocument | fleet.FleetDocument | None = None


@attrs.define(kw_only=True)
class Scene:
    """What a publish is judged against; `catalog.Catalog` keeps it current.

    Attributes:
        accepted: The accepted revision's offset by service.
        documents: The accepted documents by service, without the fleet's.
        fleet_document: The accepted fleet document.
        fractions: Each document's guaranteed part of the fleet's capacity.
        rules: The rules that this release knows, by number.
    """

    accepted: dict[str, int] = attrs.field(factory=dict)
    documents: dict[str, document.ServiceDocument] = attrs.field(factory=dict)
    fleet_document: fleet.FleetDocument | None = None
    fractions: dict[str, float] = attrs.field(factory=dict)
    rules: Mapping[int, Rules] = attrs.field(factory=lambda: RULES)


@attrs.frozen(kw_only=True)
class _Refusal:
    code: str
    message: str
    beaten_by: int | None = None


def owns(scene: Scene, publish: publication.Publish) -> bool:
    """Whether the publishing team owns what it publishes.

    The first fleet document has no predecessor that could name its keeper, so
    whoever publishes first is taken.
    """
    if publish.service == document.FLEET:
        return (
            scene.fleet_document is None
            or scene.fleet_document.team == publish.team
        )
    if scene.fleet_document is None:
        return False
    return scene.fleet_document.owners.get(publish.service) == publish.team


def parse_text(service: str, text: str, rules: Rules) -> Result:
    """Reads the text published for a service, or for the fleet."""
    if service == document.FLEET:
        return rules.parse_fleet(text, source=service)
    return rules.parse_service(text, source=service)


def judge(
    publish: publication.Publish, *, record_id: str, offset: int, scene: Scene
) -> Result[Judgement, errors.UnjudgedRecord]:
    """Judges a publish.

    Args:
        publish: The publish.
        record_id: Its record's id.
        offset: Its record's offset.
        scene: The state before it.

    Returns:
        The judgement, or that its rules are in force but unknown here.
    """
    found: document.ServiceDocument | fleet.FleetDocument | None = None
    refusal = _refuse_writer(publish, scene) or _refuse_base(publish, scene)
    if refusal is None:
        rules = scene.rules.get(publish.validation)
        if rules is None:
            # Refusing would part this daemon from newer ones for good. It
            # stops here instead and serves on what it has; an upgrade, which
            # the raised `newest_format` had asked for, sets it going again.
            return Failure(
                errors.UnjudgedRecord(
                    offset=offset, validation=publish.validation
                )
            )
        read = parse_text(publish.service, publish.text, rules)
        if isinstance(read, Failure):
            refusal = _Refusal(code="bad_document", message=_tell(read))
        else:
            found = read.unwrap()
            refusal = _refuse_document(publish, found, scene)
    return Success(
        Judgement(
            verdict=_verdict(publish, record_id, offset, refusal),
            parsed=found if refusal is None else None,
        )
    )


def _verdict(
    publish: publication.Publish,
    record_id: str,
    offset: int,
    refusal: _Refusal | None,
) -> publication.Verdict:
    said = refusal or _Refusal(code="accepted", message="")
    return publication.Verdict(
        record_id=record_id,
        offset=offset,
        service=publish.service,
        team=publish.team,
        base_offset=publish.base_offset,
        code=said.code,
        message=said.message[: publication.MAX_MESSAGE_CHARS],
        beaten_by=said.beaten_by,
    )


def _tell(read: Result) -> str:
    return "\n".join(str(fault) for fault in read.failure())


def _refuse_writer(
    publish: publication.Publish, scene: Scene
) -> _Refusal | None:
    newest = document.VALIDATION
    if scene.fleet_document is not None:
        newest = scene.fleet_document.heading.newest_format
    if not 1 <= publish.validation <= newest:
        message = (
            f"format {publish.validation}; the fleet allows up to {newest}"
        )
        return _Refusal(code="format_not_enabled", message=message)
    if owns(scene, publish):
        return None
    if scene.fleet_document is None:
        return _Refusal(code="no_fleet", message="no fleet document yet")
    if publish.service == document.FLEET:
        owner: str | None = scene.fleet_document.team
    else:
        owner = scene.fleet_document.owners.get(publish.service)
    if owner is None:
        message = f"the fleet lists no service {publish.service!r}"
        return _Refusal(code="unknown_service", message=message)
    message = f"{publish.service} belongs to {owner}, not to {publish.team}"
    return _Refusal(code="wrong_team", message=message)


def _refuse_base(publish: publication.Publish, scene: Scene) -> _Refusal | None:
    # Two operators who edit the same revision would otherwise undo each other:
    # the second to publish has not seen the first one's change.
    current = scene.accepted.get(publish.service)
    if publish.base_offset == current:
        return None
    message = f"edited from {publish.base_offset}, accepted is {current}"
    return _Refusal(code="base_replaced", message=message, beaten_by=current)


def _refuse_document(
    publish: publication.Publish,
    found: document.ServiceDocument | fleet.FleetDocument,
    scene: Scene,
) -> _Refusal | None:
    if isinstance(found, fleet.FleetDocument):
        return _refuse_fleet(found, scene)
    if (found.service, found.team) != (publish.service, publish.team):
        message = f"the text is {found.service}'s of {found.team}"
        return _Refusal(code="other_heading", message=message)
    if scene.fleet_document is None:
        raise errors.BrokenInvariantError("a service is owned without a fleet")
    capacity = scene.fleet_document.capacity_token_s_per_s
    fraction = found.share.fraction_of(capacity)
    fractions = {**scene.fractions, found.service: fraction}
    return _refuse_shares(fractions, capacity)


def _refuse_fleet(found: fleet.FleetDocument, scene: Scene) -> _Refusal | None:
    dropped = sorted(set(scene.documents) - set(found.owners))
    if dropped:
        # Its document would stay in force with nobody able to change it.
        message = f"has an accepted document: {', '.join(dropped)}"
        return _Refusal(code="service_in_use", message=message)
    if scene.fleet_document is not None:
        newest = scene.fleet_document.heading.newest_format
        if found.heading.newest_format < newest:
            message = f"newest_format is already {newest}"
            return _Refusal(code="format_lowered", message=message)
    capacity = found.capacity_token_s_per_s
    return _refuse_shares(find_fractions(scene.documents, capacity), capacity)


def find_fractions(
    documents: Mapping[str, document.ServiceDocument],
    capacity_token_s_per_s: float,
) -> dict[str, float]:
    """Returns each document's guaranteed part of a capacity by service."""
    return {
        name: made.share.fraction_of(capacity_token_s_per_s)
        for name, made in documents.items()
    }


def _refuse_shares(
    fractions: Mapping[str, float], capacity_token_s_per_s: float
) -> _Refusal | None:
    # A guarantee that the fleet can't honour would be paid for by another
    # team's requests at the next peak.
    if fleet.fits(fractions.values()):
        return None
    message = (
        "the guaranteed shares of all services come to more than the fleet's "
        f"{capacity_token_s_per_s:g} token-seconds per second"
    )
    return _Refusal(code="shares_do_not_fit", message=message)
