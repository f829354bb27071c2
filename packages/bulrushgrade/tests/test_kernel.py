"""Tests of the micro-kernel."""

import asyncio

from returns.result import Failure

from bulrushgrade import errors
from bulrushgrade import kernel


class _Part:
    def __init__(self, *, name, requires=(), log=None):
        self.name = name
        self.requires = requires
        self.log = log if log is not None else []

    async def start(self):
        self.log.append(f"start {self.name}")

    async def stop(self):
        self.log.append(f"stop {self.name}")

    def receive(self, message):
        if message == "break":
            raise ValueError("no such state")
        self.log.append(message)

    def dump(self):
        return {"messages": len(self.log)}


def _kernel():
    turns, broken = [], []
    made = kernel.Kernel(call_soon=turns.append, on_broken=broken.append)
    return made, turns, broken


def test_start_follows_requirements_and_stop_reverses():
    made, _, _ = _kernel()
    log = []
    made.register(_Part(name="relay", requires=("log",), log=log))
    made.register(_Part(name="log", log=log))
    asyncio.run(made.start())
    asyncio.run(made.stop())
    assert log == ["start log", "start relay", "stop relay", "stop log"]


def test_cycle_and_missing_name_are_values():
    a = _Part(name="a", requires=("b",))
    b = _Part(name="b", requires=("a",))
    assert kernel.sort_services([a, b]) == Failure(
        errors.DependencyCycle(names=("a", "b"))
    )
    assert kernel.sort_services([a]) == Failure(errors.UnknownService(name="b"))


def test_messages_arrive_in_a_later_turn():
    made, turns, _ = _kernel()
    part = _Part(name="a")
    made.register(part)
    made.send("a", "hello")
    assert part.log == []
    turns.pop()()
    assert part.log == ["hello"]
    assert made.dump() == {"a": {"messages": 1}}


def test_broken_invariant_stops_the_process_once():
    made, turns, broken = _kernel()
    made.register(_Part(name="a"))
    made.send("a", "break")
    made.send("a", "break")
    for turn in turns:
        turn()
    assert broken == ["a: ValueError: no such state"]
    assert made.broken == broken[0]
