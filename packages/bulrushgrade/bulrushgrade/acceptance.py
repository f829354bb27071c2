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
class RuleSet:
    """The rules of one number: how texts are read and checked."""

    parse_service: Callable[
        ..., Result[document.ServiceDocument, tuple[errors.DocumentError, ...]]
    ]
    parse_fleet: Callable[
        ..., Result[fleet.FleetDocument, tuple[errors.DocumentError, ...]]
    ]


RULE_SETS: Mapping[int, RuleSet] = {
    1: RuleSet(
        parse_service=document.parse_document, parse_fleet=fleet.parse_fleet
    )
}


@attrs.frozen(kw_only=True)
class Evaluation:
    """A verdict, with the parsed document where the text could be read."""

    verdict: publication.Verdict
    parsed: document.ServiceDocument | fleet.FleetDocument | None = None


@attrs.define(kw_only=True)
class AcceptedState:
    """What a publish is judged against; `catalog.Catalog` keeps it current.

    Attributes:
        offsets: The accepted revision's offset by service.
        documents: The accepted documents by service, without the fleet's.
        fleet_document: The accepted fleet document.
        guaranteed_fractions: Each document's guaranteed part of the fleet's
            capacity.
        rules: The rules that this release knows, by number.
    """

    offsets: dict[str, int] = attrs.field(factory=dict)
    documents: dict[str, document.ServiceDocument] = attrs.field(factory=dict)
    fleet_document: fleet.FleetDocument | None = None
    guaranteed_fractions: dict[str, float] = attrs.field(factory=dict)
    rules: Mapping[int, RuleSet] = attrs.field(factory=lambda: RULE_SETS)


@attrs.frozen(kw_only=True)
class _Refusal:
    code: str
    message: str
    beaten_by: int | None = None


def is_owner(
    accepted_state: AcceptedState, publish: publication.Publish
) -> bool:
    """Whether the publishing team owns what it publishes.

    The first fleet document has no predecessor that could name its keeper, so
    whoever publishes first is taken.
    """
    if publish.service == document.FLEET:
        return (
            accepted_state.fleet_document is None
            or accepted_state.fleet_document.team == publish.team
        )
    if accepted_state.fleet_document is None:
        return False
    return (
        accepted_state.fleet_document.owners.get(publish.service)
        == publish.team
    )


def parse_text(service: str, text: str, rules: RuleSet) -> Result:
    """Reads the text published for a service, or for the fleet."""
    if service == document.FLEET:
        return rules.parse_fleet(text, source=service)
    return rules.parse_service(text, source=service)


def evaluate(
    publish: publication.Publish,
    *,
    record_id: str,
    offset: int,
    accepted_state: AcceptedState,
) -> Result[Evaluation, errors.UnsupportedRules]:
    """Judges a publish.

    Args:
        publish: The publish.
        record_id: Its record's id.
        offset: Its record's offset.
        accepted_state: The state before it.

    Returns:
        The judgement, or that its rules are in force but unknown here.
    """
    parsed: document.ServiceDocument | fleet.FleetDocument | None = None
    refusal = _check_writer(publish, accepted_state) or _check_base(
        publish, accepted_state
    )
    if refusal is None:
        rules = accepted_state.rules.get(publish.validation)
        if rules is None:
            # Refusing would part this daemon from newer ones for good. It
            # stops here instead and serves on what it has; an upgrade, which
            # the raised `newest_format` had asked for, sets it going again.
            return Failure(
                errors.UnsupportedRules(
                    offset=offset, validation=publish.validation
                )
            )
        read = parse_text(publish.service, publish.text, rules)
        if isinstance(read, Failure):
            refusal = _Refusal(
                code="bad_document", message=_format_errors(read)
            )
        else:
            parsed = read.unwrap()
            refusal = _check_document(publish, parsed, accepted_state)
    return Success(
        Evaluation(
            verdict=_verdict(publish, record_id, offset, refusal),
            parsed=parsed if refusal is None else None,
        )
    )


def _verdict(
    publish: publication.Publish,
    record_id: str,
    offset: int,
    refusal: _Refusal | None,
) -> publication.Verdict:
    decision = refusal or _Refusal(code="accepted", message="")
    return publication.Verdict(
        record_id=record_id,
        offset=offset,
        service=publish.service,
        team=publish.team,
        base_offset=publish.base_offset,
        code=decision.code,
        message=decision.message[: publication.MAX_MESSAGE_CHARS],
        beaten_by=decision.beaten_by,
    )


def _format_errors(read: Result) -> str:
    return "\n".join(str(error) for error in read.failure())


def _check_writer(
    publish: publication.Publish, accepted_state: AcceptedState
) -> _Refusal | None:
    newest = document.LATEST_VALIDATION
    if accepted_state.fleet_document is not None:
        newest = accepted_state.fleet_document.heading.newest_format
    if not 1 <= publish.validation <= newest:
        message = (
            f"format {publish.validation}; the fleet allows up to {newest}"
        )
        return _Refusal(code="format_not_enabled", message=message)
    if is_owner(accepted_state, publish):
        return None
    if accepted_state.fleet_document is None:
        return _Refusal(code="no_fleet", message="no fleet document yet")
    if publish.service == document.FLEET:
        owner: str | None = accepted_state.fleet_document.team
    else:
        owner = accepted_state.fleet_document.owners.get(publish.service)
    if owner is None:
        message = f"the fleet lists no service {publish.service!r}"
        return _Refusal(code="unknown_service", message=message)
    message = f"{publish.service} belongs to {owner}, not to {publish.team}"
    return _Refusal(code="wrong_team", message=message)


def _check_base(
    publish: publication.Publish, accepted_state: AcceptedState
) -> _Refusal | None:
    # Two operators who edit the same revision would otherwise undo each other:
    # the second to publish has not seen the first one's change.
    current = accepted_state.offsets.get(publish.service)
    if publish.base_offset == current:
        return None
    message = f"edited from {publish.base_offset}, accepted is {current}"
    return _Refusal(code="base_replaced", message=message, beaten_by=current)


def _check_document(
    publish: publication.Publish,
    parsed: document.ServiceDocument | fleet.FleetDocument,
    accepted_state: AcceptedState,
) -> _Refusal | None:
    if isinstance(parsed, fleet.FleetDocument):
        return _check_fleet(parsed, accepted_state)
    if (parsed.service, parsed.team) != (publish.service, publish.team):
        message = f"the text is {parsed.service}'s of {parsed.team}"
        return _Refusal(code="other_heading", message=message)
    if accepted_state.fleet_document is None:
        raise errors.BrokenInvariantError("a service is owned without a fleet")
    capacity = accepted_state.fleet_document.capacity_token_s_per_s
    fraction = parsed.share.fraction_of(capacity)
    fractions = {
        **accepted_state.guaranteed_fractions,
        parsed.service: fraction,
    }
    return _check_shares(fractions, capacity)


def _check_fleet(
    parsed: fleet.FleetDocument, accepted_state: AcceptedState
) -> _Refusal | None:
    dropped = sorted(set(accepted_state.documents) - set(parsed.owners))
    if dropped:
        # Its document would stay in force with nobody able to change it.
        message = f"has an accepted document: {', '.join(dropped)}"
        return _Refusal(code="service_in_use", message=message)
    if accepted_state.fleet_document is not None:
        newest = accepted_state.fleet_document.heading.newest_format
        if parsed.heading.newest_format < newest:
            message = f"newest_format is already {newest}"
            return _Refusal(code="format_lowered", message=message)
    capacity = parsed.capacity_token_s_per_s
    return _check_shares(
        compute_fractions(accepted_state.documents, capacity), capacity
    )


def compute_fractions(
    documents: Mapping[str, document.ServiceDocument],
    capacity_token_s_per_s: float,
) -> dict[str, float]:
    """Returns each document's guaranteed part of a capacity by service."""
    return {
        name: service_document.share.fraction_of(capacity_token_s_per_s)
        for name, service_document in documents.items()
    }


def _check_shares(
    fractions: Mapping[str, float], capacity_token_s_per_s: float
) -> _Refusal | None:
    # A guarantee that the fleet can't honour would be paid for by another
    # team's requests at the next peak.
    if fleet.fractions_fit(fractions.values()):
        return None
    message = (
        "the guaranteed shares of all services come to more than the fleet's "
        f"{capacity_token_s_per_s:g} token-seconds per second"
    )
    return _Refusal(code="shares_do_not_fit", message=message)
