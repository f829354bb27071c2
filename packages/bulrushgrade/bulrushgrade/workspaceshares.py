"""Divides a saturated service fairly among workspaces.

If more requests arrive than a service can serve in time, which of them are late
depends on their arrival alone, and a workspace that sends most requests takes
capacity from all others. So each host measures what workspaces ask for, the
hosts exchange the sums, and every host derives from them the same max-min fair
level: workspaces that ask for less get all of it, the others get the level.

Of a workspace above the level, a random part of the prompts exceeds its share.
These let all others go first, and are refused if they would then be late. So
spare capacity is used, and what is within the share is served like the prompts
of small workspaces. If instead all prompts of a large workspace let the others
go first, and late ones were refused in the same proportion, a queue as long as
the target remained and nearly all of its share was served late.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import random

import attrs

from bulrushgrade import retryshare

USE_DECAY_S = 3.0
"""Time constant of the sums of use. Shorter than usual bursts, so that a
workspace doesn't save up a share while it is idle, and long enough that a host
that gets a few requests per second has a stable sum."""

SATURATION_DECAY_S = 1.0
"""Time constant of the numbers of late and of all prompts. Queues of engines
build up and empty in about a second."""

SATURATED_FRACTION = 0.1
"""Fraction of prompts expected to be late from which on a service counts as
saturated. Below it, a few unlucky placements make prompts late although there
is capacity."""

NAMING_FRACTION = SATURATED_FRACTION / 2
"""Fraction of late prompts from which on hosts name workspaces in messages. The
sums are then known when the service is saturated, and nearly nothing is sent
while it isn't."""

MIN_PROMPTS_PER_S = 5.0
"""Prompts per second from which on the fraction of late ones is evidence of
saturation. With fewer, a single late prompt exceeds the fraction."""

OUTPUT_TOKEN_COST = 10.0
"""Cost of one output token in tokens to prefill. An engine generates tokens one
at a time for each stream, but prefills many of them together."""

GUARANTEED_FRACTION = 0.9
"""Fraction of the level that a workspace above it gets with the same urgency as
all others. If the shares added up to all of the capacity, any fluctuation would
make the prompts of all workspaces late. The rest is used by prompts that exceed
the shares and let the others go first."""

OVERTAKEN_FACTOR = 1 / (1 - GUARANTEED_FRACTION)
"""Factor on the expected wait of a prompt that lets others go first. While the
shares are used, its queue advances only by what they leave."""

MIN_USE_PER_S = 5.0
"""Use in tokens per second below which a workspace counts as idle and is
dropped: half of the resolution of messages, less than one request of 50 tokens
every ten seconds."""

MAX_NAMED = 16
"""Workspaces of a service that a host names in its messages, the others are one
sum. Only the largest can be above the level of a saturated service; more would
add to every message."""

MAX_FALL_S = 5 * USE_DECAY_S
"""Maximum time over which refused callers are spread: a workspace at 150 times
the level. It bounds the effect of an incorrect sum on their delay."""


@attrs.frozen(kw_only=True)
class Use:
    """What a workspace, or several, ask for at a service.

    Attributes:
        offered: Cost of the offered requests, in tokens per second.
        served: Cost of those that an endpoint began to run, likewise.
        late: Prompts per second whose plan is expected to be late.
        prompts: All planned prompts per second.
    """

    offered: float = 0.0
    served: float = 0.0
    late: float = 0.0
    prompts: float = 0.0

    def __add__(self, other: "Use") -> "Use":
        """Returns the use of both together."""
        return Use(
            offered=self.offered + other.offered,
            served=self.served + other.served,
            late=self.late + other.late,
            prompts=self.prompts + other.prompts,
        )

    def scaled(self, factor: float) -> "Use":
        """Returns the use multiplied by a factor."""
        return Use(
            offered=self.offered * factor,
            served=self.served * factor,
            late=self.late * factor,
            prompts=self.prompts * factor,
        )

    @property
    def is_idle(self) -> bool:
        """Whether it is too small to count."""
        return max(self.offered, self.served) < MIN_USE_PER_S

    @property
    def late_fraction(self) -> float:
        """Fraction of the prompts that are expected to be late."""
        return self.late / self.prompts if self.prompts > 0 else 0.0


NO_USE = Use()

Uses = Mapping[str, Use]
"""Use by workspace."""


def needs_names(*uses: Use) -> bool:
    """Returns whether hosts should name workspaces in their messages.

    Args:
        *uses: The use of all workspaces at this host, and at all hosts.
    """
    return any(use.late_fraction > NAMING_FRACTION for use in uses)


def request_cost(*, prefill_tokens: int, output_tokens: int) -> float:
    """Returns the cost of a request, in tokens to prefill.

    Args:
        prefill_tokens: Tokens of its prompt that aren't cached.
        output_tokens: Maximum number of tokens to generate.
    """
    return prefill_tokens + OUTPUT_TOKEN_COST * output_tokens


class _DecayedUse:
    """Exponentially decayed sums of one workspace at one service."""

    def __init__(self, *, now: float):
        self._at = now
        self._sums = Use()

    def add(self, use: Use, now: float) -> None:
        """Adds costs and prompts, which here are totals and not rates."""
        self._decay(now)
        self._sums += use

    def read(self, now: float) -> Use:
        """Returns the use per second."""
        self._decay(now)
        return Use(
            offered=self._sums.offered / USE_DECAY_S,
            served=self._sums.served / USE_DECAY_S,
            late=self._sums.late / SATURATION_DECAY_S,
            prompts=self._sums.prompts / SATURATION_DECAY_S,
        )

    def _decay(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._at)
        self._at = max(self._at, now)
        use_factor = math.exp(-elapsed_s / USE_DECAY_S)
        prompt_factor = math.exp(-elapsed_s / SATURATION_DECAY_S)
        self._sums = Use(
            offered=self._sums.offered * use_factor,
            served=self._sums.served * use_factor,
            late=self._sums.late * prompt_factor,
            prompts=self._sums.prompts * prompt_factor,
        )


class WorkspaceUse:
    """The use of services by workspaces, as seen by this host."""

    def __init__(self):
        """Creates the sums without use."""
        self._sums: dict[str, dict[str, _DecayedUse]] = {}

    @property
    def services(self) -> list[str]:
        """The services that have been used."""
        return list(self._sums)

    def observe_plan(
        self,
        service: str,
        workspace: str,
        *,
        cost: float,
        is_late: bool,
        now: float,
    ) -> None:
        """Counts a request that was offered, with its first plan.

        Args:
            service: The service.
            workspace: The workspace that sent it.
            cost: Its cost in tokens, of `request_cost`.
            is_late: Whether it is expected to be late.
            now: The present time in seconds.
        """
        use = Use(offered=cost, late=float(is_late), prompts=1.0)
        self._find(service, workspace, now).add(use, now)

    def observe_served(
        self, service: str, workspace: str, *, cost: float, now: float
    ) -> None:
        """Counts a request that an endpoint began to run."""
        self._find(service, workspace, now).add(Use(served=cost), now)

    def read(self, service: str, now: float) -> dict[str, Use]:
        """Returns the use of a service, without idle workspaces."""
        sums = self._sums.get(service, {})
        uses = {workspace: one.read(now) for workspace, one in sums.items()}
        for workspace, use in uses.items():
            if use.is_idle:
                del sums[workspace]
        if service in self._sums and not sums:
            del self._sums[service]
        return {name: use for name, use in uses.items() if not use.is_idle}

    def _find(self, service: str, workspace: str, now: float) -> _DecayedUse:
        sums = self._sums.setdefault(service, {})
        if workspace not in sums:
            sums[workspace] = _DecayedUse(now=now)
        return sums[workspace]


def name_largest(uses: Uses, totals: Uses) -> tuple[dict[str, Use], Use]:
    """Returns the largest workspaces with their use, and that of the others.

    The largest are those of the whole fleet, as far as known, so that hosts
    name the same ones and the sum of each includes all hosts.

    Args:
        uses: This host's use by workspace.
        totals: The known use of all hosts.
    """

    def size(workspace: str) -> float:
        total = totals.get(workspace, NO_USE)
        return max(total.offered, uses[workspace].offered)

    ranked = sorted(uses, key=lambda name: (-size(name), name))
    others = sum((uses[name] for name in ranked[MAX_NAMED:]), NO_USE)
    return {name: uses[name] for name in ranked[:MAX_NAMED]}, others


def find_level(
    named: Iterable[float], *, others: float, capacity: float
) -> float:
    """Returns the max-min fair level; infinite if there is room for all.

    Args:
        named: Offered use of each known workspace, in tokens per second.
        others: Offered use of all others together. Hosts name the largest, so
            each is at most as large as the last of `MAX_NAMED`. They are taken
            for as many workspaces of that size as their sum has room for, and
            the level isn't below it: it can't be applied to those without a
            name, which would get more than those with one.
        capacity: What the service serves, in tokens per second.
    """
    uses = sorted((use for use in named if use > 0), reverse=True)
    if not uses:
        return math.inf
    size = uses[min(MAX_NAMED, len(uses)) - 1]
    lowest = size if others > 0 else 0.0
    shares = [(use, 1.0) for use in uses] + [(size, others / size)]
    left, count = capacity, sum(weight for _, weight in shares)
    for use, weight in sorted(shares):
        if left < use * count:
            return max(lowest, left / count)
        left -= use * weight
        count -= weight
    return math.inf


@attrs.frozen(kw_only=True)
class FairShares:
    """The fair shares of a service at one time.

    Attributes:
        uses: The known use of all hosts by workspace.
        level: Tokens per second that each workspace may use; infinite if all
            may use what they ask for.
    """

    uses: Uses = attrs.field(factory=dict)
    level: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether there is less than the workspaces ask for."""
        return self.level < math.inf

    def is_above(self, workspace: str) -> bool:
        """Returns whether a workspace asks for more than its share."""
        return self.uses.get(workspace, NO_USE).offered > self.level

    def excess_fraction(self, workspace: str) -> float:
        """Returns the fraction of its prompts that exceed its share."""
        if not self.is_above(workspace):
            return 0.0
        kept = GUARANTEED_FRACTION * self.level / self.uses[workspace].offered
        return 1.0 - kept

    def fall_s(self, workspace: str) -> float:
        """Returns when its use falls to the level if it sends nothing more."""
        if not self.is_above(workspace):
            return 0.0
        ratio = self.uses[workspace].offered / max(self.level, MIN_USE_PER_S)
        return min(MAX_FALL_S, USE_DECAY_S * math.log(max(1.0, ratio)))


def divide(uses: Uses, *, others: Use) -> FairShares:
    """Returns the fair shares of a saturated service.

    There is no level for a single workspace, nor while nothing is served: it
    would be 0, and all that is late would be refused.

    Args:
        uses: The known use of all hosts by workspace.
        others: The use of workspaces that hosts didn't name.
    """
    offered = [use.offered for use in uses.values() if use.offered > 0]
    capacity = sum(use.served for use in uses.values()) + others.served
    if len(offered) + (others.offered > 0) < 2 or capacity <= 0:
        return FairShares(uses=uses)
    level = find_level(offered, others=others.offered, capacity=capacity)
    return FairShares(uses=uses, level=level)


def is_saturated(use: Use) -> bool:
    """Returns whether a service is saturated, by the use of all workspaces."""
    is_evidence = use.prompts >= MIN_PROMPTS_PER_S
    return is_evidence and use.late_fraction > SATURATED_FRACTION


def choose_retry_after_s(
    fall_s: float, deadline_s: float | None, rng: random.Random
) -> float:
    """Returns after how many seconds a refused caller should retry.

    Args:
        fall_s: Time until its workspace's use has fallen to the level. Callers
            are spread over it, so that they don't return together.
        deadline_s: How long the caller waits in total, or None.
        rng: The source of the random variation.
    """
    longest_s = max(retryshare.BASE_RETRY_AFTER_S, fall_s)
    if deadline_s is not None:
        allowed_s = deadline_s * retryshare.MAX_WAIT_FRACTION
        longest_s = min(longest_s, allowed_s)
    shortest_s = min(retryshare.BASE_RETRY_AFTER_S, longest_s) / 2
    return rng.uniform(shortest_s, longest_s)
