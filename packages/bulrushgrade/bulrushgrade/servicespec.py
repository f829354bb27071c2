"""The sections of a service document, and lookups in them.

The lookups run for every request: they determine its limits and whether it may
be run twice. They are linear searches over short tuples.
"""

from collections.abc import Mapping
import functools
import re

import attrs


@attrs.frozen(kw_only=True)
class Heading:
    """The section that identifies the service and its owner.

    Attributes:
        format: Number of the validation rules that the document follows.
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
        version: The version to run.
        adapters: Adapters that its engines load in addition to the model.
    """

    name: str
    version: str
    adapters: tuple[str, ...] = ()


@attrs.frozen(kw_only=True)
class DeadlineClass:
    """Time limits of a class of requests, and the class's conditions.

    A request belongs to the first class of the document whose conditions all
    hold. The last class has no conditions, so every request has a class.

    Attributes:
        name: The class's name.
        whole_answer_s: Seconds from arrival to the end of the answer.
        first_token_s: Seconds from arrival to the first token; None for plain
            services.
        between_tokens_s: Seconds between two tokens; None for plain services.
        max_prompt_tokens: Condition: the prompt has at most this many tokens.
        max_answer_tokens: Condition: at most this many tokens are requested.
        header: Condition: a request header has this value, ``Name: value``.
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
    """The service's share of the fleet's engine capacity.

    One token-second per second corresponds to one token of running requests
    held on an engine continuously.

    Attributes:
        guaranteed_token_s_per_s: Guaranteed token-seconds per second, or None
            if the guarantee is a fraction.
        guaranteed_fraction: Guaranteed fraction of the fleet's capacity, or
            None if the guarantee is absolute.
        borrow: Whether it may use capacity that other services leave unused.
        priority: Priority among borrowers; 0 is the highest.
    """

    guaranteed_token_s_per_s: float | None = None
    guaranteed_fraction: float | None = None
    borrow: bool = True
    priority: int = 5

    def fraction_of(self, capacity_token_s_per_s: float) -> float:
        """Returns the guarantee as a fraction of a capacity."""
        if self.guaranteed_fraction is not None:
            return self.guaranteed_fraction
        if not self.guaranteed_token_s_per_s:
            return 0.0
        if capacity_token_s_per_s <= 0.0:
            return float("inf")
        return self.guaranteed_token_s_per_s / capacity_token_s_per_s


@attrs.frozen(kw_only=True)
class Route:
    """Properties of the requests that match a method and path.

    Attributes:
        name: The route's name, for counters and errors.
        method: An HTTP method, or ``*`` for any.
        path: A path relative to the service; ``*`` matches one segment and a
            final ``**`` any number of segments.
        repeatable: Whether a request may safely be run twice.
        idempotency_header: Request header whose value is the same for all
            retries of one request, or None.
        deadline: Name of the deadline class, or None to choose it by the
            classes' conditions.
    """

    name: str
    method: str
    path: str
    repeatable: bool
    idempotency_header: str | None = None
    deadline: str | None = None


@attrs.frozen(kw_only=True)
class RetryLimits:
    """Limits on retries that are made on the caller's behalf.

    Attributes:
        max_attempts: Attempts per request, including the first.
        budget_fraction: Retries as a fraction of the service's fresh requests.
    """

    max_attempts: int = 3
    budget_fraction: float = 0.1


@attrs.frozen(kw_only=True)
class QueueLimits:
    """Limits on the service's queue in each daemon.

    Attributes:
        max_requests: Maximum number of queued requests.
        max_wait_s: Maximum seconds that a request is queued.
    """

    max_requests: int = 256
    max_wait_s: float = 600.0


@attrs.frozen(kw_only=True)
class Weights:
    """Weights of the two objectives of role planning.

    Attributes:
        goodput: Weight of answers that are complete and on time.
        role_changes: Weight of the engine seconds lost to role changes.
    """

    goodput: float = 1.0
    role_changes: float = 1.0


def find_route(
    routes: tuple[Route, ...], *, method: str, path: str
) -> Route | None:
    """Returns the route that applies to a request.

    If several routes match, the first non-repeatable one takes precedence over
    all repeatable ones. Otherwise a broad ``/**`` listed before a specific
    route would allow duplicate execution, such as a second booking, and the
    mistake would only show when an answer to such a request is lost. Case and
    trailing slashes are ignored for the same reason, since many plain services
    treat both forms as one resource.

    Args:
        routes: The document's routes.
        method: The request's method.
        path: The path relative to the service, without the query.

    Returns:
        The route, or None if none matches.
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
    """Whether a request may be run twice.

    A request that matches no route may not. Nor may one whose path can be
    written in another way (escapes, empty or dotted segments): the service
    might resolve it to the path of a non-repeatable route.
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
        deadlines: The document's classes; the last has no conditions.
        prompt_tokens: Prompt tokens, counted or estimated.
        answer_tokens: Maximum number of tokens requested.
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


# The bound keeps the paths of replaced documents from accumulating.
@functools.lru_cache(maxsize=4096)
def _compile_path(path: str) -> re.Pattern[str]:
    pattern = re.escape(path).replace(r"/\*\*", "(/.*)?")
    return re.compile(pattern.replace(r"\*", "[^/]+"))
