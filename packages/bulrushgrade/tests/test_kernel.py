"""Tests of the microkernel."""

import asyncio

from returns.result import Failure

from bulrushgrade import errors
from bulrushgrade import kernel


class _FakeService:
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
    built = kernel.Kernel(call_soon=turns.append, on_broken=broken.append)
    return built, turns, broken


def test_start_follows_requirements_and_stop_reverses():
    built, _, _ = _kernel()
    log = []
    built.register(_FakeService(name="relay", requires=("log",), log=log))
    built.register(_FakeService(name="log", log=log))
    asyncio.run(built.start())
    asyncio.run(built.stop())
    assert log == ["start log", "start relay", "stop relay", "stop log"]


def test_cycle_and_missing_name_are_values():
    a = _FakeService(name="a", requires=("b",))
    b = _FakeService(name="b", requires=("a",))
    assert kernel.sort_services([a, b]) == Failure(
        errors.DependencyCycle(names=("a", "b"))
    )
    assert kernel.sort_services([a]) == Failure(errors.UnknownService(name="b"))


def test_messages_arrive_in_a_later_turn():
    built, turns, _ = _kernel()
    part = _FakeService(name="a")
    built.register(part)
    built.send("a", "hello")
    assert part.log == []
    turns.pop()()
    assert part.log == ["hello"]
    assert built.dump() == {"a": {"messages": 1}}


def test_broken_invariant_stops_the_process_once():
    built, turns, broken = _kernel()
    built.register(_FakeService(name="a"))
    built.send("a", "break")
    built.send("a", "break")
    for turn in turns:
        turn()
    assert broken == ["a: ValueError: no such state"]
    assert built.broken == broken[0]
