"""Replays a recorded trace through the decisions."""

import pathlib

import msgspec

from bulrushgrade_cli import outcome
from bulrushgrade_standins import replay


def replay_trace(path: str) -> outcome.Outcome:
    """Returns the figures of a replayed trace."""
    trace = pathlib.Path(path)
    try:
        text = replay.replay_file(trace)
        value = msgspec.json.decode(replay.replay_file(trace, json=True))
    except (OSError, ValueError) as error:
        reason = f"{path}: {error}"
        value = {"done": False, "reason": reason}
        return outcome.Outcome(code=outcome.USAGE, text=reason, value=value)
    return outcome.Outcome(code=outcome.DONE, text=text, value=value)
