"""Embeds the lease in a program: two candidates share one log.

Run it with the library on the path; it needs no network and no clock. The log
is the in-memory one of `bulrushgrade.fakelog`; a real program uses a client of
the log service, and passes the time of a clock that also runs while the
machine is suspended.
"""

import itertools

from bulrushgrade import fakelog
from bulrushgrade import lease

STEP_S = 0.1


class Candidate:
    """A process that competes for the lease of the group ``pack-llm``."""

    def __init__(self, *, name: str, rank: int, log: fakelog.FakeLog):
        serial = itertools.count()
        self.name = name
        self._log = log
        self._lease = lease.Lease(
            group="pack-llm",
            holder=name,
            rank=rank,
            times=lease.LeaseTimes(),
            new_id=lambda: f"{name}-{next(serial)}",
        )

    def run_step(self, now: float) -> None:
        """Applies new records of the log and appends those that are due."""
        page = self._log.read(self._lease.stream, self._lease.next_offset)
        self._lease.apply_page(page, now)
        for append in self._lease.tick(now):
            self._log.append(append)

    def do_work(self, now: float) -> str:
        """Does work that requires the lease, if this candidate holds it."""
        if not self._lease.holds_lease(now):
            return ""
        return f"{self.name} acts under term {self._lease.term}"


def main() -> list[str]:
    """Runs two candidates; the first is stopped after five seconds."""
    log = fakelog.FakeLog()
    first = Candidate(name="first", rank=0, log=log)
    second = Candidate(name="second", rank=1, log=log)
    lines: list[str] = []
    for step in range(200):
        now = step * STEP_S
        running = [first, second] if now < 5.0 else [second]
        for candidate in running:
            candidate.run_step(now)
        for candidate in (first, second):
            done = candidate.do_work(now)
            if done and (not lines or not lines[-1].endswith(done)):
                lines.append(f"{now:5.1f} s: {done}")
    return lines


if __name__ == "__main__":
    print("\n".join(main()))
