"""Tests of the command line in a separate process."""

import json
import os
import subprocess
import sys

import processes
import pytest

from bulrushgrade_cli import demodocuments


def run(*arguments):
    """Runs one command and returns the completed process."""
    return subprocess.run(
        [sys.executable, "-m", "bulrushgrade_cli", *arguments],
        env=dict(os.environ, PYTHONPATH=os.pathsep.join(sys.path)),
        capture_output=True,
        text=True,
        timeout=processes.LIMIT_S,
        check=False,
    )


@pytest.fixture
def started_processes():
    with processes.running() as started:
        yield started


def test_usage_errors_exit_2(tmp_path):
    for arguments in (
        ["check"],
        ["check", str(tmp_path / "none.ini")],
        ["show", "fleet", "--log", "localhost:1"],
        ["dump", "10.0.0.1"],
    ):
        finished = run(*arguments)
        assert finished.returncode == 2, (arguments, finished.stderr)
        assert finished.stderr


def test_publish_show_and_an_unknown_outcome(started_processes, tmp_path):
    log = started_processes.standin("log")
    path = tmp_path / "fleet.ini"
    path.write_text(demodocuments.FLEET)
    published = run("publish", str(path), "--log", log.address, "--json")
    assert published.returncode == 0, published.stderr
    assert json.loads(published.stdout)["revision"] == 0
    shown = run("show", "fleet", "--log", log.address)
    assert shown.stdout.strip() == demodocuments.FLEET.strip()
    path.write_text(demodocuments.FLEET.replace("count = 2", "count = 3"))
    refused = run("publish", str(path), "--log", log.address, "--base", "7")
    assert refused.returncode == 1
    assert "edited from 7" in refused.stderr
    processes.call("POST", log.address, "/fault", {"outage": True})
    unknown = run("history", "fleet", "--log", log.address)
    assert unknown.returncode == 3
