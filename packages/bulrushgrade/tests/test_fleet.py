"""Tests of the fleet document."""

from returns.result import Success

from bulrushgrade import fleet
from bulrushgrade import servicespec

TEXT = """
[fleet]
format = 1
name = ring
team = office
[region coastal-plain]
zones = statesboro-hall, metter-hall
[team office]
services = booking-ledger, ring-assistant
[team growers]
[engines small]
zone = metter-hall
count = 3
token_s_per_s = 1000
"""


def test_fleet_document_round_trips():
    read = fleet.parse_fleet(TEXT, source="x").unwrap()
    assert read.owners == {
        "booking-ledger": "office",
        "ring-assistant": "office",
    }
    assert read.capacity_token_s_per_s == 3000.0
    text = fleet.serialize_fleet(read)
    assert fleet.parse_fleet(text, source="x") == Success(read)


def test_names_must_be_known_and_unique():
    text = TEXT.replace("team = office", "team = nobody")
    text = text.replace("[team growers]", "[team growers]\nservices=fleet")
    text = text.replace("zone = metter-hall", "zone = claxton-hall")
    text += "[team other]\nservices = booking-ledger\n"
    found = fleet.parse_fleet(text, source="x").failure()
    assert {(fault.section, fault.key) for fault in found} == {
        ("fleet", "team"),
        ("team growers", "services"),
        ("team other", "services"),
        ("engines small", "zone"),
    }


def test_shares_fit_up_to_full_capacity():
    tenths = [servicespec.Share(guaranteed_fraction=0.1)] * 9
    shares = [*tenths, servicespec.Share(guaranteed_token_s_per_s=100.0)]
    for capacity, whole in ((1000.0, True), (999.0, False), (0.0, False)):
        parts = [share.fraction_of(capacity) for share in shares]
        assert fleet.fractions_fit(parts) is whole
