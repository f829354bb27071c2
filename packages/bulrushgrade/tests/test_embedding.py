"""The example of embedded decisions runs and shows what it says."""

import pathlib
import runpy

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


def test_five_requests_meet_one_engine_with_room_for_two():
    names = runpy.run_path(str(EXAMPLES / "embed_admission.py"))
    assert names["main"]() == [
        "grade-1 goes to 10.20.1.31:8000",
        "grade-2 goes to 10.20.1.31:8000",
        "grade-3 waits",
        "chat-1 waits",
        "hopeless is refused (overloaded), nothing ran",
        "chat-1 goes to 10.20.1.31:8000",
        "grade-3 goes to 10.20.1.31:8000",
    ]
