"""Tests of a gateway's settings."""

from returns.result import Failure

from bulrushgrade_daemon import gatewaysettings

TEXT = """\
[host]
name = Front_1
zone = z1
[listen]
callers = 127.0.0.1:8080
ready = 127.0.0.1:8081
admin = 127.0.0.1:8082
peers = 127.0.0.1:8082
[store]
address = 10.0.0.1:7000
[bounds]
drain_s = 2000e-3
configuration_s = 2
stop_s = 8
retry_ratio = 0.2
retry_extra = 52
retry_window_s = 10
order_lease_s = 3000e-3
"""


def parse(text):
    return gatewaysettings.parse_settings(text, file="f.ini")


def test_every_section_is_read():
    found = parse(TEXT).unwrap()
    assert found.host.name == "Front_1"
    assert str(found.store.address) == "10.0.0.1:7000"
    assert found.bounds.drain_s == 2.0
    assert found.bounds.contact_s == 3.0
    changed = parse(TEXT.replace("stop_s = 8", "contact_s = 4\nstop_s = 8"))
    assert changed.unwrap().bounds.contact_s == 4.0


def test_nothing_is_done_for_the_operator_unless_the_settings_ask_for_it():
    operator = parse(TEXT).unwrap().operator
    assert (operator.reports_usage, operator.orders_capacity) == (False, False)
    section = "[operator]\naddress = 10.0.0.2:70\ntasks = autoscale, other\n"
    operator = parse(TEXT + section).unwrap().operator
    assert (operator.reports_usage, operator.orders_capacity) == (False, True)
    without_address = "[operator]\ntasks = usage_reporting\n"
    assert not parse(TEXT + without_address).unwrap().operator.reports_usage


def test_features_are_off_unless_the_settings_name_them_or_an_alias():
    """A deployment that asked for nothing got a decision that is new to it."""
    assert parse(TEXT).unwrap().features.enabled == frozenset()
    section = "[features]\nenabled = early_retries, crowded, other\n"
    features = parse(TEXT + section).unwrap().features
    assert features.enabled == {gatewaysettings.EARLY_RETRIES}
    aliases = {"crowded": frozenset({gatewaysettings.WORKSPACE_SHARES})}
    found = gatewaysettings.parse_settings(
        TEXT + section, file="f.ini", aliases=aliases
    )
    features = found.unwrap().features
    assert features.shares_among_workspaces and features.retries_early
    assert not features.orders_by_demand
    assert not features.shares_endpoint_speeds


def test_every_error_is_named_at_once():
    wrong = TEXT.replace("10.0.0.1:7000", "store:7000")
    wrong = wrong.replace("stop_s = 8", "stop_s = soon")
    wrong = wrong.replace("retry_extra = 52\n", "")
    wrong = wrong.replace("zone = z1", "zone = z1\nrack = 7")
    found = parse(wrong)
    assert isinstance(found, Failure)
    keys = {error.key for error in found.failure()}
    assert keys == {"address", "stop_s", "retry_extra", "rack"}


def test_unknown_section_and_broken_file():
    assert isinstance(parse(TEXT + "[extra]\na = 1\n"), Failure)
    assert isinstance(parse("no section\n"), Failure)
    missing = gatewaysettings.read_settings("/nonexistent/f.ini")
    assert "f.ini" in missing.failure()[0].file


def test_descriptors_bound_the_connections_of_callers():
    """A host ran out of descriptors, and could not reach its endpoints."""
    assert parse(TEXT).unwrap().limits.descriptors == 4096
    section = "[limits]\ndescriptors = 2500\n"
    limits = parse(TEXT + section).unwrap().limits
    # Each request may need a connection to an endpoint too.
    assert limits.max_caller_connections * 2 <= 2500 - 500
    assert limits.max_caller_connections > 0
    refused = parse(TEXT + section.replace("2500", "500"))
    assert isinstance(refused, Failure)
