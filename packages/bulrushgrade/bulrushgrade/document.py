"""Service documents: one service's configuration on the shared fleet.

A team writes a document in INI and publishes it. Every daemon parses it by the
same validation rules and reaches the same verdict. The rules are numbered: a
change to what is accepted needs a new number, and the old rules must stay,
since daemons of two releases process the same stream.
"""

import attrs
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bulrushgrade import errors
from bulrushgrade import ini
from bulrushgrade import servicespec

# Number of the newest validation rules that this release supports; a document
# states it as its format.
LATEST_VALIDATION = 1

# Reserved service name under which the fleet document is published.
FLEET = "fleet"

# Typical documents have about 1 kB. Every daemon holds every document, so a
# large one costs memory on all hosts.
MAX_BYTES = 32 * 1024

# Bounds the linear searches for a route and a deadline class.
MAX_NAMED_SECTIONS = 64

NAME = r"[a-z][a-z0-9-]{0,62}"
NAME_EXPECTED = "lower case letters, digits and -, a letter first, at most 63"
MODEL_NAME = r"[A-Za-z0-9][A-Za-z0-9._/-]{0,127}"
_VERSION = r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}"
_HEADER = r"[A-Za-z][A-Za-z0-9-]{0,63}"
_PATH = r"/|(/([A-Za-z0-9._~:@-]+|\*))+(/\*\*)?|/\*\*"


@attrs.frozen(kw_only=True)
class ServiceDocument:
    """A parsed service document, with one attribute per kind of section."""

    heading: servicespec.Heading
    models: tuple[servicespec.ModelUse, ...] = ()
    deadlines: tuple[servicespec.DeadlineClass, ...]
    share: servicespec.Share = attrs.field(factory=servicespec.Share)
    routes: tuple[servicespec.Route, ...] = ()
    retry: servicespec.RetryLimits = attrs.field(
        factory=servicespec.RetryLimits
    )
    queue: servicespec.QueueLimits = attrs.field(
        factory=servicespec.QueueLimits
    )
    weights: servicespec.Weights = attrs.field(factory=servicespec.Weights)

    @property
    def service(self) -> str:
        """The service's name."""
        return self.heading.service

    @property
    def team(self) -> str:
        """The name of the team that owns the service."""
        return self.heading.team

    @property
    def kind(self) -> str:
        """``model`` or ``plain``."""
        return self.heading.kind


def _seconds(name: str, high: float, **options) -> ini.Key:
    # A time limit of 0 would refuse every request.
    return ini.number_key(
        name, low=0.001, high=high, unit="in seconds", **options
    )


def _count(name: str, low: int, high: int, **options) -> ini.Key:
    return ini.number_key(name, low=low, high=high, integer=True, **options)


def name_key(name: str, **options) -> ini.Key:
    """Returns a key for the name of a service, team, zone and so on."""
    return ini.text_key(name, pattern=NAME, expected=NAME_EXPECTED, **options)


FORMAT_KEY = ini.number_key(
    "format", low=LATEST_VALIDATION, high=LATEST_VALIDATION, integer=True
)

SCHEMA = (
    ini.Section(
        name="document",
        factory=servicespec.Heading,
        keys=(
            FORMAT_KEY,
            name_key("service"),
            name_key("team"),
            ini.text_key(
                "kind", pattern="model|plain", expected="model or plain"
            ),
        ),
    ),
    ini.Section(
        name="model",
        factory=servicespec.ModelUse,
        named=True,
        name_pattern=MODEL_NAME,
        required=False,
        keys=(
            ini.text_key(
                "version",
                pattern=_VERSION,
                expected="letters, digits, . _ and -, at most 64",
            ),
            ini.list_key(
                "adapters", pattern=MODEL_NAME, expected="names", default=()
            ),
        ),
    ),
    ini.Section(
        name="deadline",
        factory=servicespec.DeadlineClass,
        named=True,
        keys=(
            # A planned stop waits for open requests, so an hour bounds it.
            _seconds("whole_answer_s", 3600.0),
            _seconds("first_token_s", 600.0, default=None),
            _seconds("between_tokens_s", 60.0, default=None),
            _count("max_prompt_tokens", 1, 10_000_000, default=None),
            _count("max_answer_tokens", 1, 10_000_000, default=None),
            ini.text_key(
                "header",
                pattern=_HEADER + r": [!-~]{1,64}",
                expected="Name: value",
                default=None,
            ),
        ),
    ),
    ini.Section(
        name="share",
        factory=servicespec.Share,
        required=False,
        keys=(
            ini.number_key(
                "guaranteed_token_s_per_s", low=0, high=1e12, default=None
            ),
            ini.number_key("guaranteed_fraction", low=0, high=1, default=None),
            ini.boolean_key("borrow", default=True),
            _count("priority", 0, 9, default=5),
        ),
    ),
    ini.Section(
        name="route",
        factory=servicespec.Route,
        named=True,
        required=False,
        keys=(
            ini.text_key(
                "method",
                pattern=r"[A-Z]{1,16}|\*",
                expected="an HTTP method in capitals, or *",
            ),
            ini.text_key(
                "path",
                pattern=_PATH,
                expected="/segment/*/..., optionally ending in /**",
            ),
            ini.boolean_key("repeatable"),
            ini.text_key(
                "idempotency_header",
                pattern=_HEADER,
                expected="a header's name",
                default=None,
            ),
            name_key("deadline", default=None),
        ),
    ),
    ini.Section(
        name="retry",
        factory=servicespec.RetryLimits,
        required=False,
        keys=(
            _count("max_attempts", 1, 5, default=3),
            # Retries on top of full load sustain an overload. A fleet tolerates
            # retries of at most half of the fresh traffic.
            ini.number_key("budget_fraction", low=0, high=0.5, default=0.1),
        ),
    ),
    ini.Section(
        name="queue",
        factory=servicespec.QueueLimits,
        required=False,
        keys=(
            _count("max_requests", 1, 100_000, default=256),
            _seconds("max_wait_s", 3600.0, default=600.0),
        ),
    ),
    ini.Section(
        name="weights",
        factory=servicespec.Weights,
        required=False,
        keys=(
            ini.number_key("goodput", low=0, high=1000, default=1.0),
            ini.number_key("role_changes", low=0, high=1000, default=1.0),
        ),
    ),
)


def parse_document(
    text: str, *, source: str
) -> Result[ServiceDocument, tuple[errors.DocumentError, ...]]:
    """Parses a service document.

    Args:
        text: The document in INI.
        source: The text's origin, for error messages.

    Returns:
        The document, or every error in it.
    """
    parsed = ini.parse_sections(
        text, source=source, schema=SCHEMA, max_bytes=MAX_BYTES
    )
    for check in (_check_names, _check_kind, _check_deadlines, _check_routes):
        check(parsed)
    if parsed.found_errors:
        return Failure(tuple(parsed.found_errors))
    return Success(
        ServiceDocument(
            heading=parsed.single("document"),
            models=parsed.objects["model"],
            deadlines=parsed.objects["deadline"],
            share=parsed.single("share"),
            routes=parsed.objects["route"],
            retry=parsed.single("retry"),
            queue=parsed.single("queue"),
            weights=parsed.single("weights"),
        )
    )


def serialize_document(document: ServiceDocument) -> str:
    """Returns the INI text that `parse_document` parses to an equal object."""
    return ini.serialize_sections(
        SCHEMA,
        {
            "document": (document.heading,),
            "model": document.models,
            "deadline": document.deadlines,
            "share": (document.share,),
            "route": document.routes,
            "retry": (document.retry,),
            "queue": (document.queue,),
            "weights": (document.weights,),
        },
    )


def _check_names(parsed: ini.Parsed) -> None:
    for kind, names in parsed.names.items():
        if len(names) > MAX_NAMED_SECTIONS:
            expected = f"at most {MAX_NAMED_SECTIONS}"
            parsed.add_error(kind, "", f"{len(names)} sections", expected)
    heading = parsed.single("document")
    if heading is not None and heading.service == FLEET:
        expected = "another name; this one is reserved for the fleet document"
        parsed.add_error("document", "service", "reserved name", expected)


def _check_kind(parsed: ini.Parsed) -> None:
    heading, share = parsed.single("document"), parsed.single("share")
    if heading is None:
        return
    uses_engines = heading.kind == "model"
    if uses_engines and not parsed.names["model"]:
        parsed.add_error(
            "model NAME", "", "missing", "at least one for a model service"
        )
    if not uses_engines and parsed.names.get("model"):
        header = f"model {parsed.names['model'][0]}"
        parsed.add_error(
            header, "", "a plain service has none", "no such section"
        )
    if share is None:
        return
    guarantees = [share.guaranteed_token_s_per_s, share.guaranteed_fraction]
    guarantee_count = sum(value is not None for value in guarantees)
    keys = "guaranteed_token_s_per_s or guaranteed_fraction"
    if uses_engines and guarantee_count != 1:
        # Borrowers could starve a service without a guarantee.
        parsed.add_error(
            "share", keys, f"{guarantee_count} given", "exactly one"
        )
    if not uses_engines and guarantee_count:
        reason = "a plain service uses no engines"
        parsed.add_error("share", keys, reason, "neither")


def _check_deadlines(parsed: ini.Parsed) -> None:
    heading = parsed.single("document")
    for deadline in parsed.objects.get("deadline", ()):
        header = f"deadline {deadline.name}"
        if heading is not None:
            _check_limits(parsed, header, deadline, heading.kind == "model")
        for key in ("first_token_s", "between_tokens_s"):
            value = getattr(deadline, key)
            if value is not None and value > deadline.whole_answer_s:
                expected = "at most whole_answer_s"
                parsed.add_error(header, key, f"{value:g} s", expected)
    classes = parsed.objects.get("deadline", ())
    if len(classes) < len(parsed.names.get("deadline", ())):
        return
    for deadline in classes[:-1]:
        if deadline.is_unconditional:
            reason = "matches every request, so later classes are unreachable"
            expected = "a condition, or the last position"
            parsed.add_error(f"deadline {deadline.name}", "", reason, expected)
    if classes and not classes[-1].is_unconditional:
        header = f"deadline {classes[-1].name}"
        expected = "a last class without conditions, for all other requests"
        parsed.add_error(header, "", "has a condition", expected)


def _check_limits(
    parsed: ini.Parsed,
    header: str,
    deadline: servicespec.DeadlineClass,
    uses_engines: bool,
) -> None:
    tokens = (
        "first_token_s",
        "between_tokens_s",
        "max_prompt_tokens",
        "max_answer_tokens",
    )
    for key in tokens[:2] if uses_engines else ():
        if getattr(deadline, key) is None:
            expected = "a limit, for a model service"
            parsed.add_error(header, key, "missing", expected)
    for key in () if uses_engines else tokens:
        if getattr(deadline, key) is not None:
            reason = "a plain service has no tokens"
            parsed.add_error(header, key, reason, "no such key")


def _check_routes(parsed: ini.Parsed) -> None:
    classes = parsed.names.get("deadline", ())
    for route in parsed.objects.get("route", ()):
        if route.deadline is not None and route.deadline not in classes:
            expected = "one of " + ", ".join(classes)
            reason = f"no deadline class {route.deadline!r}"
            parsed.add_error(
                f"route {route.name}", "deadline", reason, expected
            )
    weights = parsed.single("weights")
    if weights is not None and weights.goodput + weights.role_changes <= 0:
        parsed.add_error("weights", "goodput", "both are 0", "one above 0")
