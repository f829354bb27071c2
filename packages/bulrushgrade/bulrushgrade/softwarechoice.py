"""Chooses endpoints for new streams while versions of software differ."""

from collections.abc import Callable

from bulrushgrade import directory

SCARCE_ENGINES = 2
"""Number of a software version's decoders up to which it is scarce: if one
ends, its streams have at most one other to go on at."""

RESERVED_FRACTION = 0.25
"""Fraction of the slots of such an engine that new streams leave free."""


def prefer_settled(
    endpoints: list[directory.Registration],
    is_settled: Callable[[str, str], bool],
) -> list[directory.Registration]:
    """Drops versions of which some host may not know, if there are others.

    Such a host would take another version for the only one, and let it go on
    with their streams.

    Args:
        endpoints: The endpoints of a service.
        is_settled: Returns whether every host knows that a service has
            endpoints of a version.
    """
    if len({endpoint.software for endpoint in endpoints}) < 2:
        return endpoints
    settled = [
        endpoint
        for endpoint in endpoints
        if is_settled(endpoint.service, endpoint.software)
    ]
    return settled or endpoints


def leave_room(
    engines: list[directory.Registration],
    used_fraction: Callable[[directory.Registration], float],
) -> list[directory.Registration]:
    """Drops nearly full engines of a scarce version, if there are others.

    Streams that its other engines break off can go on nowhere else.

    Args:
        engines: The engines of a service.
        used_fraction: Returns the fraction of an engine's slots in use.
    """
    decoders: dict[str, list[directory.Registration]] = {}
    for engine in engines:
        if engine.stage is not directory.Stage.PREFILL:
            decoders.setdefault(engine.software, []).append(engine)
    if len(decoders) < 2:
        return engines
    full = {
        engine.incarnation
        for found in decoders.values()
        if len(found) <= SCARCE_ENGINES
        for engine in found
        if used_fraction(engine) >= 1 - RESERVED_FRACTION
    }
    if len(full) == sum(map(len, decoders.values())):
        return engines
    return [engine for engine in engines if engine.incarnation not in full]
