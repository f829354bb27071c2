"""Speeds of engines as measured by all hosts.

A host sends an engine a request now and then, so it learns too late which
engines are slow. But all hosts together measure each engine many times per
second. Each host keeps decayed sums of what it measured, relative to what it
expects of an average engine, and the hosts exchange the sums (`peersums`).
While engines differ by much, the factors from these sums replace the host's
own ones.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math

import attrs

from bulrushgrade import linearfit
from bulrushgrade import pausemodel
from bulrushgrade import peersums
from bulrushgrade import prefilltimes
from bulrushgrade import speedsamples

MIN_SAMPLES, KEPT_SAMPLES = 8.0, 1.0
"""Weight of samples from which an engine has a factor, as single ones vary, and
below which it has none any more. An engine that is avoided because it is slow
isn't measured; if its factor ended early, all hosts would soon try it again."""

MIN_SPREAD, KEPT_SPREAD = 1.8, 1.5
"""Ratio of the 90th to the 10th percentile of engines' factors at which the
shared factors begin to apply, and below which they cease to. Engines of the
same speed appeared to spread by 1.5 beside other work and failing endpoints."""

MIN_SPREAD_SAMPLES = 16.0
"""Weight of samples from which an engine counts in that ratio. If the logarithm
of a sample varies by 0.4, engines of the same speed appear to spread by 1.7
after four samples and by 1.3 after sixteen."""

MIN_SPREAD_ENGINES = 3
"""Number of such engines from which the ratio is known."""

NOTED_RATIO = 1.25
"""Change of a factor that is reported."""

MAX_NOTED_CHANGES = 8
"""Maximum number of changes reported by one update. The others follow."""

_PREFILL, _PAUSE = speedsamples.Kind.PREFILL, speedsamples.Kind.PAUSE

_MIN_LOG = math.log(linearfit.MIN_FACTOR)
_MAX_LOG = math.log(linearfit.MAX_FACTOR)


@attrs.frozen(kw_only=True)
class SpreadChange:
    """A service whose engines have become uneven or even.

    Attributes:
        service: The service.
        is_uneven: Whether the shared factors apply from now on.
        spread: Ratio of the 90th to the 10th percentile of factors.
        engines: Number of engines with enough samples.
    """

    service: str
    is_uneven: bool
    spread: float
    engines: int


@attrs.frozen(kw_only=True)
class SpeedChange:
    """A shared factor that has changed by much.

    Attributes:
        incarnation: The engine.
        kind: What was measured.
        factor: The factor, relative to the mean of the service's engines.
        before: The factor reported before; 1 if there was none.
        samples: Weight of the samples of all hosts.
    """

    incarnation: speedsamples.Incarnation
    kind: speedsamples.Kind
    factor: float
    before: float
    samples: float


_ByKind = dict[speedsamples.Kind, dict[speedsamples.Incarnation, float]]


def _new_by_kind() -> _ByKind:
    return {kind: {} for kind in speedsamples.Kind}


@attrs.define(kw_only=True)
class _Service:
    """The engines of one service.

    Attributes:
        is_uneven: Whether the shared factors apply.
        spread: Ratio of the percentiles; 1 if unknown.
        is_corrected: Whether the fitted times were corrected since.
        factors: Known factors by kind and engine.
        weights: Weights of all hosts' samples by kind and engine.
    """

    is_uneven: bool = False
    spread: float = 1.0
    is_corrected: bool = False
    factors: _ByKind = attrs.field(factory=_new_by_kind)
    weights: _ByKind = attrs.field(factory=_new_by_kind)


class FleetSpeeds:
    """Factors of engines from the samples of all hosts."""

    def __init__(self, *, table: peersums.SumTable):
        """Creates an instance without factors.

        Args:
            table: The sums of peers.
        """
        self._table = table
        self._services: dict[str, _Service] = {}
        self._keys: dict[speedsamples.Incarnation, str] = {}
        self._totals: dict[speedsamples.Incarnation, peersums.Vector] = {}
        self._applied = _new_by_kind()
        self._noted: dict[
            tuple[speedsamples.Incarnation, speedsamples.Kind], float
        ] = {}

    @property
    def uneven(self) -> list[str]:
        """The services whose engines differ by much."""
        return [n for n, service in self._services.items() if service.is_uneven]

    @property
    def known(self) -> int:
        """Number of engines with a factor, whether it applies or not."""
        services = self._services.values()
        return sum(len(set().union(*s.factors.values())) for s in services)

    def factor(
        self, incarnation: speedsamples.Incarnation, kind: speedsamples.Kind
    ) -> float | None:
        """Returns an engine's factor; None if the host's own one applies."""
        return self._applied[kind].get(incarnation)

    def dump(self) -> dict[str, dict[str, float | int | bool]]:
        """Returns the state of each service."""
        return {
            name: {
                "is_uneven": service.is_uneven,
                "spread": round(service.spread, 2),
                "prefill_factors": len(service.factors[_PREFILL]),
                "pause_factors": len(service.factors[_PAUSE]),
            }
            for name, service in self._services.items()
        }

    def update(
        self,
        engines: Mapping[str, Iterable[speedsamples.Incarnation]],
        own: peersums.Entries,
        now: float,
    ) -> list[SpreadChange | SpeedChange]:
        """Computes the factors anew.

        Args:
            engines: The engines by service.
            own: The sums of this host by the engine's key.
            now: The present time in seconds.

        Returns:
            What has changed by much.
        """
        self._keys = {
            incarnation: self._keys.get(incarnation)
            or speedsamples.make_key(incarnation)
            for incarnation in itertools.chain.from_iterable(engines.values())
        }
        for name in self._services.keys() - engines.keys():
            del self._services[name]
        self._totals = {
            incarnation: self._table.total(key, own.get(key), now)
            for incarnation, key in self._keys.items()
        }
        self._applied = _new_by_kind()
        changes: list[SpreadChange | SpeedChange] = []
        for name, incarnations in engines.items():
            service = self._services.setdefault(name, _Service())
            for kind in speedsamples.Kind:
                self._update_factors(service, kind, incarnations)
            changes += _update_spread(name, service)
            if service.is_uneven:
                for kind, factors in service.factors.items():
                    self._applied[kind].update(factors)
        return changes + self._find_speed_changes()

    def find_offset(
        self, service: str, own: speedsamples.OwnSpeeds
    ) -> tuple[float, list[speedsamples.Incarnation]] | None:
        """Returns a correction of this host's expected prefill times, or None.

        The fitted times follow the fastest samples, so in an uneven fleet they
        are those of fast engines. Once the shared factors apply, they have to
        be those of an average engine, but rise only in hundreds of samples. So
        they are corrected once, upwards.

        Args:
            service: The service.
            own: The samples of this host.

        Returns:
            The logarithm of the factor, and the engines concerned.
        """
        found = self._services.get(service)
        if found is None or not found.is_uneven or found.is_corrected:
            return None
        factors = found.factors[_PREFILL]
        offset = own.mean_offset(_PREFILL, factors)
        if offset is None:
            return None
        found.is_corrected = True
        return (offset, list(factors)) if offset > 0.0 else None

    def _update_factors(
        self,
        service: _Service,
        kind: speedsamples.Kind,
        incarnations: Iterable[speedsamples.Incarnation],
    ) -> None:
        known, weights, logs = service.factors[kind], {}, {}
        for incarnation in incarnations:
            weight = self._totals[incarnation][2 * kind]
            needed = KEPT_SAMPLES if incarnation in known else MIN_SAMPLES
            if weight >= needed:
                weights[incarnation] = weight
                total = self._totals[incarnation][2 * kind + 1]
                logs[incarnation] = min(max(total / weight, _MIN_LOG), _MAX_LOG)
        usual = sum(logs.values()) / len(logs) if logs else 0.0
        service.weights[kind] = weights
        service.factors[kind] = {
            incarnation: math.exp(min(max(log - usual, _MIN_LOG), _MAX_LOG))
            for incarnation, log in logs.items()
        }

    def _find_speed_changes(self) -> list[SpeedChange]:
        self._noted = {
            key: factor
            for key, factor in self._noted.items()
            if key[0] in self._keys
        }
        changes: list[SpeedChange] = []
        for kind, factors in self._applied.items():
            for incarnation, factor in factors.items():
                before = self._noted.get((incarnation, kind), 1.0)
                if 1.0 / NOTED_RATIO < factor / before < NOTED_RATIO:
                    continue
                if len(changes) >= MAX_NOTED_CHANGES:
                    return changes
                self._noted[incarnation, kind] = factor
                change = SpeedChange(
                    incarnation=incarnation,
                    kind=kind,
                    factor=factor,
                    before=before,
                    samples=self._totals[incarnation][2 * kind],
                )
                changes.append(change)
        return changes


class SharedFactor(linearfit.Factor):
    """An engine's factor: of all hosts where it applies, else this host's."""

    def __init__(
        self,
        *,
        rise: float,
        fall: float,
        incarnation: speedsamples.Incarnation,
        kind: speedsamples.Kind,
        own: speedsamples.OwnSpeeds,
        fleet: FleetSpeeds,
    ):
        """Initializes the factor to 1; see `linearfit.Factor`.

        Args:
            rise: Weight of an observation above the host's own value.
            fall: Weight of an observation below it.
            incarnation: The engine.
            kind: What is measured.
            own: Takes the samples.
            fleet: The factors of all hosts.
        """
        super().__init__(rise=rise, fall=fall)
        self._incarnation, self._kind = incarnation, kind
        self._own, self._fleet = own, fleet

    @property
    def value(self) -> float:
        """The ratio; 1 for an average engine."""
        shared = self._fleet.factor(self._incarnation, self._kind)
        return self._value if shared is None else shared

    def observe(self, expected: float, observed: float) -> None:
        """Updates the host's own ratio and the samples that it advertises."""
        super().observe(expected, observed)
        self._own.observe(
            self._incarnation, self._kind, expected=expected, observed=observed
        )


@attrs.frozen(kw_only=True)
class EngineSpeeds:
    """What a host knows of the speeds of engines.

    Attributes:
        own: Its own samples.
        table: The sums of its peers.
        fleet: The factors of all hosts.
    """

    own: speedsamples.OwnSpeeds
    table: peersums.SumTable
    fleet: FleetSpeeds

    def new_prefill_factor(
        self, incarnation: speedsamples.Incarnation
    ) -> SharedFactor:
        """Returns the factor of an engine's prefill times."""
        return SharedFactor(
            rise=prefilltimes.FACTOR_RISE_WEIGHT,
            fall=prefilltimes.FACTOR_FALL_WEIGHT,
            incarnation=incarnation,
            kind=_PREFILL,
            own=self.own,
            fleet=self.fleet,
        )

    def new_pause_factor(
        self, incarnation: speedsamples.Incarnation
    ) -> SharedFactor:
        """Returns the factor of an engine's pauses."""
        return SharedFactor(
            rise=pausemodel.FACTOR_WEIGHT,
            fall=pausemodel.FACTOR_WEIGHT,
            incarnation=incarnation,
            kind=_PAUSE,
            own=self.own,
            fleet=self.fleet,
        )


def make_speeds(*, ttl_s: float) -> EngineSpeeds:
    """Returns the speeds of a host without samples.

    Args:
        ttl_s: Seconds for which sums of peers are used.
    """
    table = peersums.SumTable(ttl_s=ttl_s, width=speedsamples.WIDTH)
    own, fleet = speedsamples.OwnSpeeds(), FleetSpeeds(table=table)
    return EngineSpeeds(own=own, table=table, fleet=fleet)


def _update_spread(name: str, service: _Service) -> list[SpreadChange]:
    spreads = []
    for kind in speedsamples.Kind:
        weights = service.weights[kind]
        factors = sorted(
            factor
            for incarnation, factor in service.factors[kind].items()
            if weights[incarnation] >= MIN_SPREAD_SAMPLES
        )
        if len(factors) >= MIN_SPREAD_ENGINES:
            last = len(factors) - 1
            ratio = factors[round(0.9 * last)] / factors[round(0.1 * last)]
            spreads.append((ratio, len(factors)))
    if not spreads:
        return []
    service.spread, engines = max(spreads)
    limit = KEPT_SPREAD if service.is_uneven else MIN_SPREAD
    is_uneven = service.spread >= limit
    if is_uneven == service.is_uneven:
        return []
    service.is_uneven = is_uneven
    service.is_corrected = False
    return [
        SpreadChange(
            service=name,
            is_uneven=is_uneven,
            spread=service.spread,
            engines=engines,
        )
    ]
