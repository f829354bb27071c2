"""Tests of a gateway's process."""

import gc

import fakes
import pytest
from twisted import logger
from twisted.internet import defer

from bulrushgrade_daemon import gatewayprocess


@pytest.fixture
def lines():
    """The decision log, which gets the errors that nothing handled."""
    recorder = fakes.EventRecorder()
    observer = gatewayprocess.make_error_observer(recorder.make())
    logger.globalLogPublisher.addObserver(observer)
    yield recorder
    logger.globalLogPublisher.removeObserver(observer)


def test_error_that_nothing_handles_is_logged(lines):
    """Such errors were on standard error only, which nobody read."""
    defer.fail(ValueError("lost"))
    gc.collect()
    (line,) = lines.read("unhandled_error")
    assert "ValueError: lost" in line["reason"]
