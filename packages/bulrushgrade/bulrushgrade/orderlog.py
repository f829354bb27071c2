"""Records of orders to engines, and the orders that are unfinished.

These records share the stream ``control.GROUP`` with the lease records. An
`Intent` announces an order that the holder is about to send to an engine, and
an `Outcome` records the state that the engine reported afterwards. An engine
has at most one unfinished intent.
"""

import attrs
from returns.result import Failure

from bulrushgrade import codec
from bulrushgrade import record


@attrs.frozen(kw_only=True)
class Wanted:
    """The role and model that an engine has been ordered to have or reports.

    Attributes:
        role: For example ``prefill``, ``decode`` or ``mixed``.
        model: The model's name.
        version: The model's version.
        adapters: The names of the adapters, sorted.
    """

    role: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Intent:
    """Announces an order.

    It is effective if and only if its term is current and no effective order
    record of the engine lies after `after_offset`.

    Attributes:
        engine: The engine's address.
        order_id: The order's id; a new holder that adopts the order keeps it.
        wanted: The ordered role and model.
        term: The writer's term.
        after_offset: The offset of the last record that the writer had read.
            It makes a duplicate of this record ineffective.
    """

    engine: str
    order_id: str
    wanted: Wanted
    term: int
    after_offset: int


@attrs.frozen(kw_only=True)
class Outcome:
    """Ends an order; effective if and only if its term is current.

    Attributes:
        engine: The engine's address.
        order_id: The order's id.
        seen: What the engine reported once it had completed the order. It
            may differ from what was ordered.
        term: The writer's term.
    """

    engine: str
    order_id: str
    seen: Wanted
    term: int


CODEC = codec.Codec(kinds=(Intent, Outcome))


@attrs.frozen(kw_only=True)
class Unfinished:
    """An order without an outcome on the log.

    Attributes:
        order_id: The order's id.
        wanted: The ordered role and model.
        term: The term of its last effective intent.
        number: The offset of that intent, which is the fencing token of the
            order. Unlike the term, it also keeps a delayed copy of an order
            from undoing a later order of the same holder.
    """

    order_id: str
    wanted: Wanted
    term: int
    number: int


class OrderFold:
    """Determines which orders are unfinished.

    Every reader arrives at the same result. After a gap of trimmed records an
    engine's history is incomplete: its last order record may be in the gap,
    so a duplicate can't be distinguished from the original. The history is
    complete again with an intent whose writer had read up to the gap. Until
    then the latest intent counts, since a holder has one order at a time and
    appends its intent again long before it is trimmed.
    """

    def __init__(self):
        self._origin = 0
        self._last_offsets: dict[str, int] = {}
        self._complete: set[str] = set()
        self._unfinished: dict[str, Unfinished] = {}

    @property
    def unfinished(self) -> dict[str, Unfinished]:
        """Unfinished orders by engine; callers must not modify it."""
        return self._unfinished

    def skip_to(self, origin: int) -> None:
        """Handles a gap: records before `origin` were trimmed unread."""
        self._origin = origin
        self._last_offsets.clear()
        self._complete.clear()
        self._unfinished.clear()

    def apply(self, item: record.Record, term: int | None) -> None:
        """Processes the next record of the stream.

        Args:
            item: The record.
            term: The term that is current at the record's offset, or None if
                there is none or it is unknown.
        """
        parsed = CODEC.parse(item.body)
        if isinstance(parsed, Failure):
            return
        message = parsed.unwrap()
        if term is None or message.term != term:
            return
        if isinstance(message, Intent):
            self._apply_intent(message, item.offset)
        else:
            self._apply_outcome(message, item.offset)

    def _has_complete_history(self, engine: str) -> bool:
        return self._origin == 0 or engine in self._complete

    def _apply_intent(self, message: Intent, offset: int) -> None:
        engine = message.engine
        if self._has_complete_history(engine):
            if self._last_offsets.get(engine, -1) > message.after_offset:
                return
        elif message.after_offset >= self._origin - 1:
            self._complete.add(engine)
        self._last_offsets[engine] = offset
        self._unfinished[engine] = Unfinished(
            order_id=message.order_id,
            wanted=message.wanted,
            term=message.term,
            number=offset,
        )

    def _apply_outcome(self, message: Outcome, offset: int) -> None:
        running = self._unfinished.get(message.engine)
        if running is None or running.order_id != message.order_id:
            return
        self._last_offsets[message.engine] = offset
        del self._unfinished[message.engine]
