"""Passes the messages of peers to the services that handle them."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from bulrushgrade import directory
from bulrushgrade import stageplan
from bulrushgrade_daemon import gatewaymessages
from bulrushgrade_daemon import peerlink

ROLES = (gatewaymessages.RoleChangeNotice,)
RECORDS = (
    gatewaymessages.RecordQuery,
    gatewaymessages.RecordReply,
    gatewaymessages.RecordNotice,
)
PERMITS = (
    gatewaymessages.PermitQuery,
    gatewaymessages.PermitReply,
    gatewaymessages.PermitWithdrawal,
)
BACKOFFS = (gatewaymessages.BackoffNotice,)
USAGE = (
    gatewaymessages.UsageCounts,
    gatewaymessages.UsageTaken,
    gatewaymessages.UsageReporter,
)
ORIGINS = (
    gatewaymessages.StreamOrigin,
    gatewaymessages.OriginQuery,
    gatewaymessages.OriginReply,
)

Handler = Callable[[Any], None]


def make_dispatch(
    handlers: Iterable[tuple[Handler, Iterable[type]]], *, otherwise: Handler
) -> Handler:
    """Returns a function that passes a message to its handler.

    Args:
        handlers: The handlers, each with the types of its messages.
        otherwise: Handles all other messages.
    """
    by_type = {kind: handle for handle, kinds in handlers for kind in kinds}

    def dispatch(message: gatewaymessages.Message) -> None:
        by_type.get(type(message), otherwise)(message)

    return dispatch


def make_backoff_teller(
    *,
    own_name: str,
    timers: Any,
    send: Callable[[str, gatewaymessages.Message], bool],
) -> Callable[[str, directory.Registration, float], None]:
    """Returns a function that tells a peer of a backoff meant for it too.

    Args:
        own_name: This daemon's name among its peers.
        timers: The timer service.
        send: Sends a message to a peer.
    """

    def tell(
        peer: str, endpoint: directory.Registration, backoff_s: float
    ) -> None:
        notice = gatewaymessages.BackoffNotice(
            peer=own_name,
            endpoint=endpoint.id,
            born_ms=endpoint.born_ms,
            backoff_ms=round(backoff_s * 1000),
        )
        send(peer, notice)
        timers.after(peerlink.REPEAT_BROADCAST_S, lambda: send(peer, notice))

    return tell


def make_role_announcer(
    *, handle: Handler, broadcast: Handler
) -> Callable[[stageplan.StageChange, float], None]:
    """Returns a function that announces an ordered change of a role.

    Args:
        handle: Handles a message at this host.
        broadcast: Sends a message to all peers.
    """

    def announce(change: stageplan.StageChange, change_s: float) -> None:
        notice = gatewaymessages.RoleChangeNotice(
            engine=change.engine.id,
            stage=change.stage,
            change_ms=round(change_s * 1000),
        )
        handle(notice)
        broadcast(notice)

    return announce
