"""The example documents and their reference are true."""

import pathlib

import pytest

from bulrushgrade import document
from bulrushgrade import fleet
from bulrushgrade import publication
from bulrushgrade import record
from bulrushgrade import registry
from bulrushgrade import servicespec

ROOT = pathlib.Path(__file__).parents[3]
EXAMPLES = ROOT / "examples" / "documents"


def _read(name):
    text = (EXAMPLES / f"{name}.ini").read_text(encoding="utf-8")
    return document.parse_document(text, source=name).unwrap()


DEPLOYMENTS = (
    ("fleet-ortak", "pack-llm", "portal-app"),
    ("fleet-ogeechee", "ring-assistant", "booking-ledger"),
)


def test_every_example_is_one_of_a_deployment():
    assert {path.stem for path in EXAMPLES.glob("*.ini")} == {
        *DEPLOYMENTS[0],
        *DEPLOYMENTS[1],
    }


@pytest.mark.parametrize("names", DEPLOYMENTS)
def test_a_deployments_documents_are_accepted_together(names):
    fold = registry.Registry()
    for offset, name in enumerate(names):
        text = (EXAMPLES / f"{name}.ini").read_text(encoding="utf-8")
        is_fleet = offset == 0
        read = fleet.parse_fleet if is_fleet else document.parse_document
        made = publication.Publish(
            service=document.FLEET if is_fleet else name,
            team=read(text, source=name).unwrap().team,
            base_offset=None,
            text=text,
            validation=document.LATEST_VALIDATION,
        )
        body = publication.CODEC.serialize(made)
        outcome = fold.apply(
            record.Record(offset=offset, record_id=name, body=body)
        )
        assert outcome.code == "accepted", outcome.message


@pytest.mark.parametrize(
    ("service", "method", "path", "repeatable"),
    [
        ("booking-ledger", "POST", "/bookings", False),
        ("booking-ledger", "DELETE", "/bookings/7", False),
        ("booking-ledger", "GET", "/days/2026-04-01", True),
        ("portal-app", "POST", "/vans/12/confirmation", False),
        ("portal-app", "POST", "/leases", False),
        ("portal-app", "PUT", "/rooms/3/tags/sofa", True),
        ("portal-app", "GET", "/leases/3", True),
        ("pack-llm", "POST", "/v1/chat/completions", True),
    ],
)
def test_what_may_run_twice(service, method, path, repeatable):
    routes = _read(service).routes
    found = servicespec.is_repeatable(routes, method=method, path=path)
    assert found is repeatable


def test_the_reference_names_every_section_and_key():
    text = (ROOT / "docs" / "DOCUMENTS.md").read_text(encoding="utf-8")
    for schema in (document.SCHEMA, fleet.SCHEMA):
        for section in schema:
            name = f"{section.name} NAME" if section.named else section.name
            _, _, after = text.partition(f"### `[{name}]`\n")
            table, _, _ = after.partition("\n#")
            for key in section.keys:
                assert f"| `{key.name}` |" in table, (name, key.name)
