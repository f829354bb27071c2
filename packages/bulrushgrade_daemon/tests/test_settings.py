"""Tests of a daemon's settings."""

import pathlib

import attrs
import pytest
from returns.result import Failure

from bulrushgrade_daemon import keys
from bulrushgrade_daemon import settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples" / "settings"

SMALLEST = """
[host]
name = a
zone = gebze-a
region = tr-marmara
[listen]
callers = 127.0.0.1:0
admin = 127.0.0.1:0
peers = [::1]:0
[platform]
log = 127.0.0.1:7400
host_list = 127.0.0.1:7500
weight_store = 127.0.0.1:7600
"""


def find_errors(text):
    result = settings.parse_settings(text, file="x.ini")
    assert isinstance(result, Failure), result
    return result.failure()


def test_smallest_file_takes_defaults():
    read = settings.parse_settings(SMALLEST, file="x.ini").unwrap()
    assert read.listen.peers == keys.Address(host="::1", port=0)
    assert read.limits == settings.Limits()
    assert read.authority.groups == ()


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.ini")), ids=str)
def test_example_parses_and_survives_a_round_trip(path):
    read = settings.read_settings(str(path)).unwrap()
    # One group with all engines of the region: a zone has only one or two, none
    # of which could change its role.
    (group,) = read.authority.groups
    assert group.endswith(f".{read.host.region}")
    text = settings.serialize_settings(read)
    assert settings.parse_settings(text, file="x").unwrap() == read


def test_every_key_is_in_the_reference():
    text = (EXAMPLES.parents[1] / "docs" / "SETTINGS.md").read_text()
    for section in attrs.fields(settings.Settings):
        assert f"## [{section.name}]" in text
        for key in attrs.fields(section.type):
            assert f"| `{key.name}` |" in text, key.name


def test_both_deployments_have_an_example():
    zones = {
        settings.read_settings(str(path)).unwrap().host.zone
        for path in EXAMPLES.glob("*.ini")
    }
    assert zones == {"gebze-a", "statesboro-hall"}


@pytest.mark.parametrize(
    ("old", "new", "section", "key"),
    [
        ("zone = gebze-a", "", "host", "zone"),
        ("zone = gebze-a", "zone = Gebze A", "host", "zone"),
        ("zone =", "colour = red\nzone =", "host", "colour"),
        ("zone =", "Zone = b\nzone =", "host", "Zone"),
        ("127.0.0.1:7400", "localhost:7400", "platform", "log"),
        ("127.0.0.1:7400", "127.0.0.1:0", "platform", "log"),
        ("127.0.0.1:7400", "127.0.0.1:70000", "platform", "log"),
        ("127.0.0.1:7400", "127.0.0.1", "platform", "log"),
        ("[host]", "[DEFAULT]\nx = 1\n[host]", "DEFAULT", ""),
        ("[host]", "[limits]\nbuffer_bytes=1.5\n[host]", "limits", None),
        ("[host]", "[limits]\nstop_grace_s=nan\n[host]", "limits", None),
        ("[host]", "[limits]\nstop_grace_s=-1\n[host]", "limits", None),
        ("[host]", "[logging]\nlevel=loud\n[host]", "logging", "level"),
        (
            "[host]",
            "[authority]\nlease_ttl_s=2\nlease_guard_s=1\n[host]",
            "authority",
            "lease_guard_s",
        ),
        ("[::1]:0", "0.0.0.0:7070", "listen", "peers"),
        ("[host]", "[host", "", ""),
        ("zone =", "zone = a\nzone =", "", ""),
    ],
)
def test_error_names_its_place(old, new, section, key):
    found = find_errors(SMALLEST.replace(old, new, 1))
    assert len(found) == 1, found
    assert found[0].file == "x.ini"
    assert found[0].section == section
    assert key is None or found[0].key == key
    assert found[0].expected
    assert "x.ini" in settings.format_error(found[0])


def test_every_error_is_named():
    text = SMALLEST.replace("127.0.0.1:0", "here").replace("name = a", "")
    places = {(error.section, error.key) for error in find_errors(text)}
    assert places == {
        ("host", "name"),
        ("listen", "callers"),
        ("listen", "admin"),
    }


def test_missing_and_undecodable_files(tmp_path):
    missing = settings.read_settings(str(tmp_path / "none.ini")).failure()
    assert attrs.astuple(missing[0])[1:3] == ("", "")
    assert "No such file" in missing[0].reason
    odd = tmp_path / "odd.ini"
    odd.write_bytes(b"\xff\xfe")
    assert settings.read_settings(str(odd)).failure()[0].expected
