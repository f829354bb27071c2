"""Generates traces of both deployments for the measured cases.

The header of every trace says that it is generated, and holds the seed and
the parameters.
"""

import argparse
from collections.abc import Callable
import math
import pathlib
import random

import attrs

from bulrushgrade import work
from bulrushgrade_standins import trace

DURATION_S = trace.DEFAULT_DURATION_S


@attrs.frozen(kw_only=True)
class Kind:
    """The distribution of the requests of one service."""

    service: str
    team: str
    prompt: tuple[int, int]
    output: tuple[int, int]
    shared: tuple[str, int, int]
    deadline_s: float
    first_token_s: float | None = None
    between_tokens_s: float | None = None


@attrs.frozen(kw_only=True)
class Deployment:
    """The fleet, services and kinds of requests of one deployment.

    Attributes:
        wrong_roles: Roles that don't suit the deployment's load.
        rates: Requests per second of each kind that just fill the fleet.
        prefill_heavy: The service whose requests have long prompts.
    """

    name: str
    zones: tuple[str, ...]
    roles: tuple[work.Role, ...]
    wrong_roles: tuple[work.Role, ...]
    hosts: int
    services: tuple[work.ServicePolicy, ...]
    kinds: tuple[Kind, ...]
    rates: tuple[float, ...]
    prefill_heavy: str


_P, _D, _M = work.Role.PREFILL, work.Role.DECODE, work.Role.MIXED

ORTAK = Deployment(
    name="ortak",
    zones=("gebze-a", "gebze-b", "tuzla", "esenyurt"),
    roles=(_P, _P, _M, _D, _D),
    wrong_roles=(_P, _P, _P, _P, _D),
    hosts=6,
    services=(
        work.ServicePolicy(
            service="grade", team="a", share=0.5, goodput_weight=3.0
        ),
        work.ServicePolicy(
            service="portal", team="b", share=0.35, goodput_weight=3.0
        ),
        work.ServicePolicy(
            service="tag", team="c", share=0.15, goodput_weight=3.0
        ),
    ),
    kinds=(
        Kind(
            service="grade", team="a", prompt=(5000, 12000),
            output=(150, 400), shared=("lease", 400, 3072),
            deadline_s=30.0, first_token_s=12.0,
        ),
        Kind(
            service="portal", team="b", prompt=(700, 1800),
            output=(80, 300), shared=("portal", 30, 512),
            deadline_s=16.0, first_token_s=1.2, between_tokens_s=0.05,
        ),
        Kind(
            service="tag", team="c", prompt=(600, 1000), output=(15, 50),
            shared=("tag", 4, 320), deadline_s=4.0, first_token_s=1.5,
        ),
    ),
    rates=(1.75, 7.2, 4.8),
    prefill_heavy="grade",
)  # fmt: skip

OGEECHEE = Deployment(
    name="ogeechee",
    zones=("statesboro-hall", "metter-hall", "sylvania-hall", "claxton-hall"),
    roles=(_P, _P, _P, _M, _M, _D, _D, _D, _D),
    wrong_roles=(_P, _P, _D, _D, _D, _D, _D, _D, _D),
    hosts=9,
    services=(
        work.ServicePolicy(
            service="turns", team="combines", share=0.6,
            role_change_weight=3.0,
        ),
        work.ServicePolicy(
            service="slots", team="sprayers", share=0.4,
            role_change_weight=3.0,
        ),
    ),
    kinds=(
        Kind(
            service="turns", team="combines", prompt=(8000, 16000),
            output=(150, 350), shared=("field", 300, 6144),
            deadline_s=40.0, first_token_s=15.0,
        ),
        Kind(
            service="slots", team="sprayers", prompt=(600, 1500),
            output=(60, 250), shared=("slots", 40, 512),
            deadline_s=14.0, first_token_s=1.2, between_tokens_s=0.05,
        ),
    ),
    rates=(2.9, 18.8),
    prefill_heavy="turns",
)  # fmt: skip

DEPLOYMENTS = {item.name: item for item in (ORTAK, OGEECHEE)}

Shape = Callable[[float, Kind], float]
"""Returns the factor on the rate of a kind at a time of the trace."""


NORMAL_LOAD = 0.8
"""Load of an ordinary hour, as a fraction of capacity."""


def _steady(_at: float, _kind: Kind) -> float:
    return NORMAL_LOAD


def _constant_load(factor: float) -> Shape:
    return lambda _at, _kind: factor


def _flips(deployment: Deployment, period_s: float) -> Shape:
    """Alternates between mostly prefill-heavy and mostly other requests."""

    def shape(at: float, kind: Kind) -> float:
        prefill_heavy_high = int(at / period_s) % 2 == 0
        is_prefill_heavy = kind.service == deployment.prefill_heavy
        if is_prefill_heavy == prefill_heavy_high:
            return 1.35 if is_prefill_heavy else 1.5
        return 0.3

    return shape


def _shift(deployment: Deployment) -> Shape:
    """Shifts the mix to prefill-heavy requests after a third of the trace."""

    def shape(at: float, kind: Kind) -> float:
        if at < DURATION_S / 3.0:
            return NORMAL_LOAD
        return 1.5 if kind.service == deployment.prefill_heavy else 0.3

    return shape


def _bursts(at: float, kind: Kind) -> float:
    return 2.4 if at % 30.0 < 4.0 else 0.6


def _outage(at: float, _kind: Kind) -> float:
    """Stops requests while the engines are lost, then adds a surge."""
    if 51.0 <= at < 70.0:
        return 0.0
    return 2.0 if 70.0 <= at < 85.0 else 0.7


CASES = (
    "steady", "flips", "shift", "wrong", "bursts", "skew", "slow", "lost",
    "mix", "outage", "full1x", "full2x", "full4x",
)  # fmt: skip


def generate(
    deployment: Deployment,
    case: str,
    *,
    seed: int,
    duration_s: float = DURATION_S,
) -> trace.Trace:
    """Generates a trace of one case.

    Args:
        deployment: The deployment with the fleet and services.
        case: One of `CASES`.
        seed: Seeds all random draws.
        duration_s: Length of the trace.
    """
    rng = random.Random(f"{deployment.name}/{case}/{seed}")
    wrong = case == "wrong"
    roles = deployment.wrong_roles if wrong else deployment.roles
    engines = tuple(
        trace.EngineSpec(
            address=f"127.0.1.{index + 1}:8000",
            zone=deployment.zones[index % len(deployment.zones)],
            role=role,
        )
        for index, role in enumerate(roles)
    )
    shapes: dict[str, Shape] = {
        "flips": _flips(deployment, 40.0),
        "shift": _shift(deployment),
        "bursts": _bursts,
        "full1x": _constant_load(1.0),
        "full2x": _constant_load(2.0),
        "full4x": _constant_load(4.0),
        "outage": _outage,
    }
    shape = shapes.get(case, _steady)
    if case == "mix":
        shape = _alternating_floods(deployment)
    skew = 1.6 if case == "skew" else 0.6
    requests = _draw_requests(deployment, shape, skew, rng, duration_s)
    return trace.Trace(
        header=trace.Header(
            name=f"{deployment.name}-{case}",
            generated=True,
            seed=seed,
            parameters={"deployment": deployment.name, "case": case},
            engines=engines,
            services=deployment.services,
            hosts=deployment.hosts,
            duration_s=duration_s,
            scored_from_s=min(10.0, duration_s / 4.0),
        ),
        requests=requests,
        events=_make_events(case, engines, duration_s),
    )


def _alternating_floods(deployment: Deployment) -> Shape:
    """Floods with prefill-heavy requests half the time; others stay steady."""

    def shape(at: float, kind: Kind) -> float:
        if kind.service == deployment.prefill_heavy:
            return 1.8 if int(at / 25.0) % 2 else 0.9
        return 0.6

    return shape


def _make_events(
    case: str, engines: tuple[trace.EngineSpec, ...], duration_s: float
) -> tuple[trace.Event, ...]:
    first, last = engines[0].address, engines[-1].address
    third = duration_s / 3.0
    if case == "slow":
        return (
            trace.Event(at_s=third, engine=last, what="slow", factor=4.0),
            trace.Event(at_s=2.2 * third, engine=last, what="slow", factor=1.0),
        )
    if case == "lost":
        return (
            trace.Event(at_s=third, engine=last, what="lose"),
            trace.Event(at_s=1.5 * third, engine=first, what="leave"),
            trace.Event(at_s=2.0 * third, engine=last, what="back"),
        )
    if case == "outage":
        return tuple(
            trace.Event(at_s=at, engine=engine.address, what=what)
            for at, what in ((50.0, "lose"), (68.0, "back"))
            for engine in engines
        )
    return ()


def _draw_requests(
    deployment: Deployment,
    shape: Shape,
    skew: float,
    rng: random.Random,
    duration_s: float,
) -> tuple[trace.Request, ...]:
    found: list[trace.Request] = []
    for kind, rate in zip(deployment.kinds, deployment.rates, strict=True):
        weights = _zipf_weights(kind.shared[1], skew)
        at = 0.0
        peak = rate * 4.0
        while (at := at + rng.expovariate(peak)) < duration_s:
            if rng.random() * 4.0 < shape(at, kind):
                request_id = f"{kind.service}-{len(found)}"
                found.append(_draw_request(kind, weights, at, request_id, rng))
    return tuple(sorted(found, key=lambda request: request.at_s))


def _draw_request(
    kind: Kind,
    weights: list[float],
    at: float,
    request_id: str,
    rng: random.Random,
) -> trace.Request:
    output = rng.randint(*kind.output)
    low, high = kind.output
    expected = round(math.sqrt(output * (low + high) / 2.0))
    name, _, tokens = kind.shared
    chosen = rng.choices(range(len(weights)), cum_weights=weights)[0]
    return trace.Request(
        at_s=round(at, 4),
        request_id=request_id,
        service=kind.service,
        team=kind.team,
        prompt_tokens=rng.randint(*kind.prompt),
        output_tokens=output,
        expected_output_tokens=expected,
        prefix=((f"{name}-{chosen}", tokens),),
        deadline_s=kind.deadline_s,
        first_token_s=kind.first_token_s,
        between_tokens_s=kind.between_tokens_s,
    )


def _zipf_weights(count: int, skew: float) -> list[float]:
    total, cumulative = 0.0, []
    for rank in range(1, count + 1):
        total += 1.0 / rank**skew
        cumulative.append(total)
    return cumulative


def main(arguments: list[str] | None = None) -> None:
    """Writes one generated trace to a file."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("deployment", choices=list(DEPLOYMENTS))
    parser.add_argument("case", choices=CASES)
    parser.add_argument("path", type=pathlib.Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=DURATION_S)
    options = parser.parse_args(arguments)
    generated = generate(
        DEPLOYMENTS[options.deployment],
        options.case,
        seed=options.seed,
        duration_s=options.duration,
    )
    trace.write_trace(generated, options.path)


if __name__ == "__main__":
    main()
