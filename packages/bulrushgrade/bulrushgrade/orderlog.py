"""Records of orders to engines, and which orders are unfinished.

On the stream ``control.GROUP``, beside the lease records, an `Intent` says
what the holder is about to order of an engine, and an `Outcome` what the
engine was then seen to be. An engine has at most one unfinished intent.
"""

import attrs
from returns.result import Failure

from bulrushgrade import codec
from bulrushgrade import record


@attrs.frozen(kw_only=True)
class Wanted:
    """What an engine is to be, or was seen to be.

    Attributes:
        role: Such as ``prefill``, ``decode`` or ``mixed``.
        model: The model's name.
        version: The model's version.
        adapters: Names of the adapters, sorted.
    """

    role: str
    model: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class Intent:
    """Announces an order; effective iff its term is current and it follows.

    Attributes:
        engine: The engine's address.
        order_id: The order's id; a new holder that adopts the order keeps it.
        wanted: What is ordered.
        term: The writer's term.
        after_offset: The last record that its writer had read. An effective
            record of this engine behind it, such as a first copy of this one,
            leaves this one without effect.
    """

    engine: str
    order_id: str
    wanted: Wanted
    term: int
    after_offset: int


@attrs.frozen(kw_only=True)
class Outcome:
    """Ends an order; effective iff its term is current.

    Attributes:
        engine: The engine's address.
        order_id: The order's id.
        seen: What the engine was seen to be once it was through with the
            order; not always what was wanted.
        term: The writer's term.
    """

    engine: str
    order_id: str
    seen: Wanted
    term: int


CODEC = codec.Codec(kinds=(Intent, Outcome))


@attrs.frozen(kw_only=True)
class Unfinished:
    """An order whose outcome is not on the log.

    Attributes:
        order_id: The order's id.
        wanted: What is ordered.
        term: The term of its last effective intent.
        number: The offset of that intent. It is the fencing number of what is
            sent, finer than the term: it also keeps a late copy of a holder's
            earlier order from undoing that holder's later one.
    """

    order_id: str
    wanted: Wanted
    term: int
    number: int


class OrderFold:
    """Which orders are unfinished; every reader comes to the same result.

    Past a trimmed gap an engine is not clear: its last order record may be
    gone, so that a second copy can't be told from a first. The engine gets
    clear with an intent whose writer had read up to the gap. Until then its
    latest intent counts: a holder has one order at a time, and appends its
    intent again long before it is trimmed.
    """

    def __init__(self):
        self._origin = 0
        self._last_offsets: dict[str, int] = {}
        self._complete: set[str] = set()
        self._unfinished: dict[str, Unfinished] = {}

    @property
    def unfinished(self) -> dict[str, Unfinished]:
        """Unfinished orders by engine; not to be changed."""
        return self._unfinished

    def skip_to(self, origin: int) -> None:
        """Notes that the records before `origin` were trimmed unread."""
        self._origin = origin
        self._last_offsets.clear()
        self._complete.clear()
        self._unfinished.clear()

    def apply(self, item: record.Record, term: int | None) -> None:
        """Takes the next record of the stream.

        Args:
            item: The record.
            term: The term that is current at its offset, None where there is
                none or it is not known.
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
