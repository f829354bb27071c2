"""Counts and logs the answers that exceed a bound.

The counts are those of the process, as are the lines: connections to
endpoints, the store and operators are opened in many places.
"""

import collections
from collections.abc import Callable
from typing import Any

from absl import logging

from bulrushgrade import answerlimits

LOG_PERIOD_S = 1.0
"""Shortest time between two lines where no log is set. An endpoint may exceed
a bound with each request."""


def _note_to_standard_log(event: str, **fields: Any) -> None:
    logging.log_every_n_seconds(
        logging.WARNING, "%s %s", LOG_PERIOD_S, event, fields
    )


_counts: collections.Counter[str] = collections.Counter()
_notes: list[Callable[..., None]] = [_note_to_standard_log]


def set_log(note: Callable[..., None]) -> None:
    """Sets the function that gets a line for each answer over a bound.

    Args:
        note: Called with the name of the event and its fields; limits the
            rate of lines.
    """
    _notes[:] = [note]


def counts() -> dict[str, int]:
    """Returns the number of answers over each bound."""
    return {limit.value: _counts[limit.value] for limit in answerlimits.Limit}


def observe(limit: answerlimits.Limit, transport: Any) -> None:
    """Takes in that an answer exceeds a bound.

    Args:
        limit: The bound.
        transport: The connection of the answer, from the endpoint or from the
            peer that relays it.
    """
    _counts[limit.value] += 1
    address = transport.getPeer()
    peer = f"{address.host}:{address.port}"
    for note in _notes:
        note("answer_over_limit", limit=limit.value, peer=peer)
