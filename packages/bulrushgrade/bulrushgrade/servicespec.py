"""What a service asks of the fleet: the sections of its document.

The lookups here decide for every request which limits hold for it and whether
it may be run twice, so they are plain searches over short tuples.
"""

from collections.abc import Mapping
import functools
import re

import attrs


@attrs.frozen(kw_only=True)
class Heading:
    """Whose document it is.

    Attributes:
        format: Number of the rules that it is written for.
        service: The service's name.
        team: The team that owns the service.
        kind: ``model`` for model engines, ``plain`` for a plain service.
    """

    format: int
    service: str
    team: str
    kind: str


@attrs.frozen(kw_only=True)
class ModelUse:
    """A model that the service runs.

    Attributes:
        name: The model.
        version: The version that is in force.
        adapters: Adapters that its engines have loaded besides.
    """

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class DeadlineClass:
    """Time limits of a class of requests, and which requests belong to it.

    A request belongs to the first class of the document whose every condition
    holds; the last class has none, so each request has a class.

    Attributes:
        name: The class.
        whole_answer_s: Seconds from arrival to the end of the answer.
        first_token_s: Seconds from arrival to the first token; None for plain
            services.
        between_tokens_s: Seconds between two tokens; None for plain services.
        max_prompt_tokens: Condition: the prompt is no longer.
        max_answer_tokens: Condition: no more tokens are asked for.
        header: Condition: a request header has a value, ``Name: value``.
    """

    name: str
    whole_answer_s: float
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    max_prompt_tokens: int | None = None
    max_answer_tokens: int | None = None
    header: str | None = None

    @property
    def is_unconditional(self) -> bool:
        """Whether every request belongs to the class."""
        conditions = (self.max_prompt_tokens, self.max_answer_tokens)
        return conditions == (None, None) and self.header is None


@attrs.frozen(kw_only=True)
class Share:
    """The service's part in the fleet's engines.

    One token-second per second is one token held in work on an engine all
    the time.

    Attributes:
        guaranteed_token_s_per_s: Guaranteed token-seconds per second, or None
            where the guarantee is a fraction.
        guaranteed_fraction: Guaranteed part of the whole fleet's capacity.
        borrow: Whether it may use what others leave unused.
        priority: Rank among borrowers, 0 first.
    """

    guaranteed_token_s_per_s: float | None = None
    guaranteed_fraction: float | None = None
    borrow: bool = True
    priority: int = 5

    def fraction_of(self, capacity_token_s_per_s: float) -> float:
        """Returns the guaranteed part of a capacity."""
        if self.guaranteed_fraction is not None:
            return self.guaranteed_fraction
        if not self.guaranteed_token_s_per_s:
            return 0.0
        if capacity_token_s_per_s <= 0.0:
            return float("inf")
        return self.guaranteed_token_s_per_s / capacity_token_s_per_s


@attrs.frozen(kw_only=True)
class Route:
    """What a service says about some of its calls.

    Attributes:
        name: The route, for counters and errors.
        method: An HTTP method, or ``*`` for any.
        path: A path below the service; ``*`` stands for one segment and a
            last ``**`` for any number of them.
        repeatable: Whether running a call twice does no harm.
        idempotency_header: Request header whose value marks the retries of
            one call, or None.
        deadline: Name of the deadline class, or None to go by conditions.
    """

    name: str
    method: str
    path: str
    repeatable: bool
    idempotency_header: str | None = None
    deadline: str | None = None


@attrs.frozen(kw_only=True)
class RetryLimits:
    """How often the system may try again for the caller.

    Attributes:
        max_attempts: Attempts a request, the first one counted.
        budget_fraction: Retries as a part of the service's fresh requests.
    """

    max_attempts: int = 3
    budget_fraction: float = 0.1


@attrs.frozen(kw_only=True)
class QueueLimits:
    """How much may wait, a daemon.

    Attributes:
        max_requests: Requests that wait at most.
        max_wait_s: Seconds that a request waits at most.
    """

    max_requests: int = 256
    max_wait_s: float = 600.0


@attrs.frozen(kw_only=True)
class Weights:
    """What counts for more when the two pull apart.

    Attributes:
        goodput: Weight of answers that are complete and on time.
        role_changes: Weight of engine seconds lost to changes of role.
    """

    goodput: float = 1.0
    role_changes: float = 1.0


def find_route(
    routes: tuple[Route, ...], *, method: str, path: str
) -> Route | None:
    """Returns the route that a call falls under.

    A call that two routes match falls under the first of those that forbid a
    repeat, if any does. The error to guard against is a second booking: a
    wide ``/**`` above a narrow route would allow it, seen only when an answer
    is lost on that very call. Case and a last slash don't matter here for the
    same reason, since many plain services take both forms for one resource.

    Args:
        routes: The document's routes.
        method: The call's method.
        path: Its path below the service, without the query.

    Returns:
        The route, or None where none matches.
    """
    normalized = "/" + path.strip("/").lower()
    matching = [
        route
        for route in routes
        if route.method in ("*", method.upper())
        and _compile_path(route.path.lower()).fullmatch(normalized)
    ]
    for route in matching:
        if not route.repeatable:
            return route
    return matching[0] if matching else None


def is_repeatable(routes: tuple[Route, ...], *, method: str, path: str) -> bool:
    """Whether a call may be run twice.

    A call that no route names may not. Nor may one whose path has more than
    one spelling (escapes, empty or dotted segments): the service could read
    it as a path of a route that forbids a repeat.
    """
    if "%" in path or "\\" in path or "//" in path or "/." in path:
        return False
    route = find_route(routes, method=method, path=path)
    return route is not None and route.repeatable


def find_deadline_class(
    deadlines: tuple[DeadlineClass, ...],
    *,
    prompt_tokens: int = 0,
    answer_tokens: int = 0,
    headers: Mapping[str, str],
) -> DeadlineClass:
    """Returns the first class whose conditions a request meets.

    Args:
        deadlines: The document's classes; the last has no condition.
        prompt_tokens: Tokens of the prompt, counted or estimated.
        answer_tokens: Tokens that are asked for at most.
        headers: Request headers by lower-case name.
    """
    for deadline in deadlines[:-1]:
        if _matches_conditions(deadline, prompt_tokens, answer_tokens, headers):
            return deadline
    return deadlines[-1]


def _matches_conditions(
    deadline: DeadlineClass,
    prompt_tokens: int,
    answer_tokens: int,
    headers: Mapping[str, str],
) -> bool:
    prompt_limit = deadline.max_prompt_tokens
    if prompt_limit is not None and prompt_tokens > prompt_limit:
        return False
    answer_limit = deadline.max_answer_tokens
    if answer_limit is not None and answer_tokens > answer_limit:
        return False
    if deadline.header is None:
        return True
    name, _, value = deadline.header.partition(": ")
    return headers.get(name.lower()) == value


# Bounded: paths of documents that were replaced long ago may not pile up.
@functools.lru_cache(maxsize=4096)
def _compile_path(path: str) -> re.Pattern[str]:
    pattern = re.escape(path).replace(r"/\*\*", "(/.*)?")
    return re.compile(pattern.replace(r"\*", "[^/]+"))
