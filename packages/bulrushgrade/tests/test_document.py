"""Tests of service documents."""

import hypothesis
from hypothesis import strategies
from returns.result import Success

from bulrushgrade import document
from bulrushgrade import servicespec

PLAIN = """
[document]
format = 1
service = booking-ledger
team = ring-office
kind = plain
[deadline any]
whole_answer_s = 5
[route book]
method = POST
path = /bookings
repeatable = no
idempotency_header = Idempotency-Key
"""


def _error_keys(text):
    found = document.parse_document(text, source="x.ini").failure()
    return {(fault.section, fault.key) for fault in found}


def test_minimal_document_gets_defaults():
    read = document.parse_document(PLAIN, source="x.ini").unwrap()
    assert (read.service, read.team, read.kind) == (
        "booking-ledger",
        "ring-office",
        "plain",
    )
    assert read.routes[0].idempotency_header == "Idempotency-Key"
    assert read.share.fraction_of(100.0) == 0.0


def test_unknown_format_error_lists_supported_range():
    text = PLAIN.replace("format = 1", "format = 2")
    (fault,) = document.parse_document(text, source="x.ini").failure()
    assert str(fault) == (
        "x.ini: [document] format: bad value '2'; "
        "expected a whole number from 1 to 1"
    )


def test_all_errors_are_reported_together():
    text = """
stray = 1
[document]
format = 1
format = 1
service = fleet
team = Ring Office
kind = model
no equals sign
[deadline quick]
whole_answer_s = 0
header = X
[deadline long]
whole_answer_s = 5
first_token_s = 9
max_prompt_tokens = ٣
[share]
guaranteed_fraction = nan
[share]
borrow = maybe
[route a]
method = post
path = bookings
repeatable = no
deadline = slow
[weights]
goodput = 0
role_changes = 0
[shares]
[DEFAULT]
x = 1
"""
    assert _error_keys(text) == {
        ("", ""),
        ("document", "format"),
        ("document", "team"),
        ("deadline quick", "whole_answer_s"),
        ("deadline quick", "header"),
        ("deadline long", "max_prompt_tokens"),
        ("share", "guaranteed_fraction"),
        ("share", ""),
        ("route a", "method"),
        ("route a", "path"),
        ("weights", "goodput"),
        ("shares", ""),
        ("DEFAULT", ""),
    }


def test_cross_section_rules():
    model = PLAIN.replace("plain", "model")
    assert _error_keys(model) == {
        ("model NAME", ""),
        ("share", "guaranteed_token_s_per_s or guaranteed_fraction"),
        ("deadline any", "first_token_s"),
        ("deadline any", "between_tokens_s"),
    }
    text = PLAIN.replace("= /bookings", "= /bookings\ndeadline = slow")
    text = text.replace("booking-ledger", "fleet").replace(
        "[route", "first_token_s = 9\n[deadline more]\nwhole_answer_s = 1\n"
        "header = X-Kind: slow\n[model m]\nversion = 1\n[route"
    )  # fmt: skip
    assert _error_keys(text) == {
        ("document", "service"),
        ("model m", ""),
        ("deadline any", "first_token_s"),
        ("deadline any", ""),
        ("deadline more", ""),
        ("route book", "deadline"),
    }


def test_oversized_or_malicious_text_is_bounded():
    assert _error_keys("x" * (document.MAX_BYTES + 1)) == {("", "")}
    found = document.parse_document("[a]\n" * 9000, source="x").failure()
    assert len(found) < 60


@hypothesis.given(
    text=strategies.text(alphabet="[]a= \n\0\r#;%:é", max_size=80)
)
def test_arbitrary_text_does_not_raise(text):
    document.parse_document(text, source="x")
    document.parse_document(PLAIN + text, source="x")


_NAMES = strategies.from_regex(document.NAME, fullmatch=True, alphabet="ab-9")
_SECONDS = strategies.floats(0.001, 60.0)


@strategies.composite
def _documents(draw):
    deadline = servicespec.DeadlineClass(
        name="rest",
        whole_answer_s=60.0 + draw(_SECONDS),
        first_token_s=draw(_SECONDS),
        between_tokens_s=draw(_SECONDS),
    )
    names = draw(strategies.lists(_NAMES, unique=True, max_size=3))
    return document.ServiceDocument(
        heading=servicespec.Heading(
            format=1, service="s", team=draw(_NAMES), kind="model"
        ),
        models=(
            servicespec.ModelUse(
                name="M/1", version="2", adapters=tuple(names)
            ),
        ),
        deadlines=(
            servicespec.DeadlineClass(
                name="chat",
                whole_answer_s=120.0,
                first_token_s=draw(_SECONDS),
                between_tokens_s=0.1,
                max_prompt_tokens=draw(strategies.integers(1, 10_000)),
                header=draw(strategies.sampled_from([None, "X-K: a=b"])),
            ),
            deadline,
        ),
        share=servicespec.Share(
            guaranteed_token_s_per_s=draw(strategies.floats(0, 1e12)),
            borrow=draw(strategies.booleans()),
        ),
        routes=tuple(
            servicespec.Route(
                name=name,
                method="*",
                path="/a/*/**",
                repeatable=draw(strategies.booleans()),
                deadline=draw(strategies.sampled_from([None, "rest"])),
            )
            for name in names
        ),
    )


@hypothesis.given(made=_documents())
def test_serialized_document_round_trips(made):
    text = document.serialize_document(made)
    assert document.parse_document(text, source="x") == Success(made)
