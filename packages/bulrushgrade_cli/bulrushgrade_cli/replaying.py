"""Replays a recorded trace through the scheduling decisions."""

import pathlib

import msgspec

from bulrushgrade_cli import outcome
from bulrushgrade_standins import replay


def replay_trace(path: str, *, json: bool = False) -> outcome.Outcome:
    """Returns the figures of a replayed trace.

    Args:
        path: The trace's file.
        json: Whether to return JSON instead of text; a replay takes seconds,
            so only one of the two is produced.
    """
    try:
        text = replay.replay_file(pathlib.Path(path), json=json)
    except (OSError, ValueError) as error:
        reason = f"{path}: {error}"
        value = {"done": False, "reason": reason}
        return outcome.Outcome(code=outcome.USAGE, text=reason, value=value)
    value = msgspec.json.decode(text) if json else None
    return outcome.Outcome(code=outcome.DONE, text=text, value=value)
