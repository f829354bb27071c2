"""Tests of the metrics service."""

import pytest

from bulrushgrade import errors
from bulrushgrade_daemon import metrics


def test_metric_of_a_series_is_the_same_object():
    service = metrics.Metrics()
    first = service.counter("requests_total", "Requests.", {"a": "1"})
    assert service.counter("requests_total", "Requests.", {"a": "1"}) is first
    other = service.counter("requests_total", "Requests.", {"a": "2"})
    first.add()
    other.add(4)
    assert service.dump() == {
        "requests_total{a=1}": 1,
        "requests_total{a=2}": 4,
    }


def test_render_shows_every_type():
    service = metrics.Metrics()
    service.counter("requests_total", "Requests.").add(3)
    service.gauge("open_requests", "Open.", read=lambda: 7)
    service.gauge("age_s", "Age.").value = 0.5
    latency = service.histogram("answer_seconds", "Answers.", {"s": "x"})
    for value_s in (0.001, 0.2, 1000.0):
        latency.observe(value_s)
    for _ in range(2):
        lines = service.render().decode().splitlines()
        assert "bulrushgrade_requests_total 3" in lines
        assert "bulrushgrade_open_requests 7" in lines
        assert "bulrushgrade_age_s 0.5" in lines
        name = "bulrushgrade_answer_seconds"
        assert f'{name}_bucket{{le="0.001",s="x"}} 1.0' in lines
        assert f'{name}_bucket{{le="0.25",s="x"}} 2.0' in lines
        assert f'{name}_bucket{{le="600.0",s="x"}} 2.0' in lines
        assert f'{name}_bucket{{le="+Inf",s="x"}} 3.0' in lines
        assert f'{name}_count{{s="x"}} 3.0' in lines


def test_counts_of_a_service_are_read_at_each_render():
    service = metrics.Metrics()
    counts = {"whole": 1}
    service.register_counts("relay_answers_total", "Answers.", lambda: counts)
    service.render()
    counts.update(whole=5, late=2)
    lines = service.render().decode().splitlines()
    assert 'bulrushgrade_relay_answers_total{what="whole"} 5' in lines
    assert 'bulrushgrade_relay_answers_total{what="late"} 2' in lines


def test_names_carry_units_and_one_type():
    service = metrics.Metrics()
    with pytest.raises(errors.BrokenInvariantError):
        service.counter("requests", "Requests.")
    with pytest.raises(errors.BrokenInvariantError):
        service.histogram("answer", "Answers.")
    service.gauge("x_total", "X.")
    with pytest.raises(errors.BrokenInvariantError):
        service.counter("x_total", "X.")
