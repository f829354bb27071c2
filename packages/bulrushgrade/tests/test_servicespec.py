"""Tests of the lookups in the sections of a service document."""

from bulrushgrade import servicespec


def _route(path, *, repeatable, method="*"):
    return servicespec.Route(
        name=path, method=method, path=path, repeatable=repeatable
    )


def test_broad_route_does_not_override_non_repeatable_route():
    # A booking's answer is lost. If a catch-all repeatable route that is listed
    # first overrode the non-repeatable route for bookings, the request would
    # be retried and the booking made twice.
    routes = (
        _route("/**", repeatable=True),
        _route("/bookings/*", repeatable=False, method="PUT"),
    )
    for path in (
        "/bookings/7",
        "/bookings/7/",
        "/Bookings/7",
        "//bookings/7",
        "/x/../bookings/7",
        "/book%69ngs/7",
    ):
        assert not servicespec.is_repeatable(routes, method="PUT", path=path)
    assert servicespec.is_repeatable(routes, method="GET", path="/bookings/7")
    assert servicespec.is_repeatable(
        routes, method="PUT", path="/bookings/7/crew"
    )
    assert not servicespec.is_repeatable((), method="GET", path="/")


def test_path_wildcards():
    one = (_route("/a/*", repeatable=True),)
    rest = (_route("/a/**", repeatable=True),)
    for path, in_one, in_rest in (
        ("/a", False, True),
        ("/a/b", True, True),
        ("/a/b/c", False, True),
        ("/ab", False, False),
    ):
        found = servicespec.find_route(one, method="GET", path=path)
        assert (found is not None) == in_one, path
        found = servicespec.find_route(rest, method="GET", path=path)
        assert (found is not None) == in_rest, path


def test_request_gets_first_matching_deadline_class():
    def make(name, **conditions):
        return servicespec.DeadlineClass(
            name=name, whole_answer_s=1.0, **conditions
        )

    classes = (
        make("marked", header="X-Kind: photo tag"),
        make("short", max_prompt_tokens=100, max_answer_tokens=10),
        make("rest"),
    )
    for prompt, answer, headers, name in (
        (9, 9, {}, "short"),
        (9, 9, {"x-kind": "photo tag"}, "marked"),
        (101, 9, {}, "rest"),
        (9, 11, {"x-kind": "other"}, "rest"),
    ):
        found = servicespec.find_deadline_class(
            classes, prompt_tokens=prompt, answer_tokens=answer, headers=headers
        )
        assert found.name == name
