"""Decides whether a publish is accepted, as a pure function of the state.

Every daemon evaluates every publish on its own, so the result must not depend
on the host, the time or the release. Validation rules are numbered: a publish
names the number to validate it by, and the fleet document states the highest
number that every daemon supports.
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
    """Parsers that implement one numbered version of the validation rules."""

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
    """A verdict, with the parsed document if the publish was accepted."""

    verdict: publication.Verdict
    parsed: document.ServiceDocument | fleet.FleetDocument | None = None


@attrs.define(kw_only=True)
class AcceptedState:
    """The accepted documents, against which the next publish is evaluated.

    `catalog.Catalog` keeps it current.

    Attributes:
        offsets: Offsets of the accepted revisions by service, the fleet
            document's included.
        documents: The accepted service documents by service.
        fleet_document: The accepted fleet document.
        guaranteed_fractions: Guaranteed fraction of the fleet's capacity by
            service.
        rules: The rule sets that this release supports, by number.
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

    Before the first fleet document no owner is known, so any team may publish
    it.
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
    """Parses the text published for a service or for the fleet."""
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
    """Evaluates a publish against the accepted documents.

    Args:
        publish: The publish.
        record_id: The id of its record.
        offset: The offset of its record.
        accepted_state: The state before the publish.

    Returns:
        The evaluation, or `UnsupportedRules` if the fleet allows the
        publish's rules but this release does not support them.
    """
    parsed: document.ServiceDocument | fleet.FleetDocument | None = None
    refusal = _check_writer(publish, accepted_state) or _check_base(
        publish, accepted_state
    )
    if refusal is None:
        rules = accepted_state.rules.get(publish.validation)
        if rules is None:
            # A refusal would make this daemon's state diverge permanently from
            # that of newer daemons. It stops applying records here and keeps
            # serving its current state until it is upgraded, which raising
            # `newest_format` requires.
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
    # Optimistic concurrency check: if two operators edit the same revision, the
    # second publish would overwrite the first one's change unseen.
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
        message = f"the document is for {parsed.service} of team {parsed.team}"
        return _Refusal(code="other_heading", message=message)
    if accepted_state.fleet_document is None:
        raise errors.BrokenInvariantError(
            "service has an owner but no fleet document exists"
        )
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
        # Their documents would stay in force, but no team could change them.
        message = f"services have accepted documents: {', '.join(dropped)}"
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
    """Returns the guaranteed fraction of a capacity by service."""
    return {
        name: service_document.share.fraction_of(capacity_token_s_per_s)
        for name, service_document in documents.items()
    }


def _check_shares(
    fractions: Mapping[str, float], capacity_token_s_per_s: float
) -> _Refusal | None:
    # If guarantees exceed the capacity, one team's guarantee takes capacity
    # guaranteed to another at the next load peak.
    if fleet.fractions_fit(fractions.values()):
        return None
    message = (
        "the guaranteed shares of all services exceed the fleet's capacity of "
        f"{capacity_token_s_per_s:g} token-seconds per second"
    )
    return _Refusal(code="shares_do_not_fit", message=message)
