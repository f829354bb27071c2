"""Measures the cost of membership, subsets and messages between peers."""

import collections
import random

import attrs
import slope

from bulrushgrade import membership
from bulrushgrade import peerview
from bulrushgrade import subset
from bulrushgrade import work
from bulrushgrade_daemon import peers


@attrs.frozen(kw_only=True)
class Size:
    """The size of a deployment.

    Attributes:
        daemons: Entry hosts.
        engines: Model engines.
        models: Model services; engines are distributed evenly among them.
        zones: Availability zones.
        regions: Regions; zones are distributed evenly among them.
    """

    daemons: int
    engines: int
    models: int
    zones: int
    regions: int


SIZES = (
    Size(daemons=9, engines=9, models=1, zones=4, regions=1),
    Size(daemons=50, engines=270, models=9, zones=12, regions=4),
    Size(daemons=330, engines=1800, models=9, zones=12, regions=4),
)
# Requests in flight per daemon at the target size: 2,900 requests/s over 330
# daemons, each request taking about 10 s.
IN_FLIGHT = 88


def make_hosts(size: Size) -> list[membership.Host]:
    """Returns the host list of a deployment, evenly spread over the zones."""
    hosts = [
        _make_host(number, number, size, membership.Kind.ENTRY, "")
        for number in range(size.daemons)
    ]
    hosts += [
        _make_host(
            size.daemons + number,
            number // size.models,
            size,
            membership.Kind.ENGINE,
            f"model-{number % size.models}",
        )
        for number in range(size.engines)
    ]
    return hosts


def _make_host(
    number: int, position: int, size: Size, kind: membership.Kind, service: str
) -> membership.Host:
    zone = position % size.zones
    ip = f"10.{number // 62500}.{number // 250 % 250}.{number % 250}"
    is_entry = kind is membership.Kind.ENTRY
    return membership.Host(
        address=f"{ip}:8080",
        kind=kind,
        service=service,
        zone=f"zone-{zone:02}",
        region=f"region-{zone * size.regions // size.zones}",
        state=membership.ListedState.LIVE,
        peer=f"{ip}:7070" if is_entry else "",
    )


def _serialize_list(hosts: list[membership.Host]) -> bytes:
    host_list = membership.HostList(version=1, hosts=tuple(hosts))
    return membership.msgspec.json.encode(host_list)


def measure_host_lists() -> list[slope.Slope]:
    """Measures size, parsing time and memory by the number of hosts."""
    sizes, parse_times, memory_sizes = [], [], []
    for engines in (100, 700, 1800):
        hosts = make_hosts(attrs.evolve(SIZES[2], engines=engines))
        raw = _serialize_list(hosts)
        count = len(hosts)
        sizes.append((count, len(raw)))
        us = slope.time_us(lambda raw=raw: _accept(raw))
        parse_times.append((count, us))
        memory_sizes.append(
            (count, slope.count_bytes(lambda raw=raw: _accept(raw)))
        )
    return [
        slope.Slope(
            name="host list on the wire", unit="bytes a host", points=(*sizes,)
        ),
        slope.Slope(
            name="host list parsed and put in force",
            unit="us a host",
            points=(*parse_times,),
        ),
        slope.Slope(
            name="host list in memory",
            unit="bytes a host",
            points=(*memory_sizes,),
        ),
    ]


def _accept(raw: bytes) -> membership.Membership:
    view = membership.Membership()
    view.accept(membership.parse_host_list(raw).unwrap(), now=0.0)
    return view


def measure_meshes() -> list[dict[str, object]]:
    """Measures subsets, balance, churn, coverage and traffic at each size."""
    return [_measure_mesh(size) for size in SIZES]


def measure_subsets() -> list[dict[str, object]]:
    """Measures other subset sizes at the target size."""
    current = subset.OWN_ZONE_ENDPOINTS, subset.OTHER_ZONE_ENDPOINTS
    rows = []
    for own, other_zones in ((4, 2), (8, 2), (8, 4), current):
        subset.OWN_ZONE_ENDPOINTS, subset.OTHER_ZONE_ENDPOINTS = (
            own,
            other_zones,
        )
        found = _measure_mesh(SIZES[2])
        wanted = (
            "endpoints a daemon",
            "peers a daemon",
            "daemons an engine",
            "loads bytes/s",
        )
        rows.append(
            {
                "own zone": own,
                "spare": other_zones,
                **{k: found[k] for k in wanted},
            }
        )
    return rows


def _measure_mesh(size: Size) -> dict[str, object]:
    hosts = make_hosts(size)
    subsets = subset.EndpointSubsets()
    own = hosts[0].address

    def update_subsets(listed: list[membership.Host]) -> None:
        subsets.update(listed)
        subsets.find_peers(own)

    first_us = slope.time_us(lambda: _build_subsets(hosts, own))
    update_subsets(hosts)
    daemons = [h.address for h in hosts if h.kind is membership.Kind.ENTRY]
    before = {daemon: subsets.get_endpoints(daemon) for daemon in daemons}
    peer_counts = [len(subsets.find_peers(daemon)) for daemon in daemons]
    connected = collections.Counter(e for x in before.values() for e in x)
    change_us = slope.time_us(
        lambda: (update_subsets(hosts[:-1]), update_subsets(hosts))
    )
    return {
        "daemons": size.daemons,
        "engines": size.engines,
        "endpoints a daemon": len(before[own]),
        "peers a daemon": f"{min(peer_counts)}-{max(peer_counts)}",
        "daemons an engine": (
            f"{min(connected.values())}-{max(connected.values())}"
            f" of {len(connected)} engines connected"
        ),
        **_measure_churn(hosts, subsets, before),
        **_measure_loss(hosts, before),
        "ms for the first list": round(first_us / 1000, 2),
        "ms for a change of one host": round(change_us / 2000, 2),
        "loads bytes/s": round(_count_loads_bytes(own, subsets)),
    }


def _build_subsets(hosts: list[membership.Host], own: str) -> None:
    subsets = subset.EndpointSubsets()
    subsets.update(hosts)
    subsets.find_peers(own)


def _measure_churn(
    hosts: list[membership.Host],
    subsets: subset.EndpointSubsets,
    before: dict[str, frozenset[str]],
) -> dict[str, object]:
    """Counts the new connections after one host is removed."""
    rng = random.Random(1)
    new_connections = {}
    for kind in (membership.Kind.ENGINE, membership.Kind.ENTRY):
        removed = rng.choice([host for host in hosts if host.kind is kind])
        subsets.update([host for host in hosts if host is not removed])
        new_connections[kind] = sum(
            len(subsets.get_endpoints(daemon) - connected)
            for daemon, connected in before.items()
            if daemon != removed.address
        )
    subsets.update(hosts)
    return {
        "new connections for a lost engine": new_connections[
            membership.Kind.ENGINE
        ],
        "for a lost daemon": new_connections[membership.Kind.ENTRY],
        "of": sum(map(len, before.values())),
    }


def _measure_loss(
    hosts: list[membership.Host], before: dict[str, frozenset[str]]
) -> dict[str, object]:
    """Counts the engines left to daemons of other zones if a zone is lost."""
    lost = hosts[0].zone
    remaining = [host for host in hosts if host.zone != lost]
    service_of = {h.address: h.service for h in remaining if h.service}
    services = set(service_of.values())
    after = subset.EndpointSubsets()
    after.update(remaining)
    fewest = {"before": [], "after": []}
    for host in remaining:
        if host.kind is not membership.Kind.ENTRY:
            continue
        for name, connected in (
            ("before", before[host.address]),
            ("after", after.get_endpoints(host.address)),
        ):
            counts = collections.Counter(
                service_of[e] for e in connected if e in service_of
            )
            fewest[name].append(min(counts[s] for s in services))
    return {
        "zone lost: engines a model left at once": min(fewest["before"]),
        "after the list": min(fewest["after"]),
    }


def make_loads(endpoints: list[str]) -> peerview.Loads:
    """Returns a loads message with typical values for some endpoints."""
    header = peerview.Header(
        sender="10.0.0.1:7070", incarnation=2**52, sequence=100_000
    )
    return peerview.make_loads(
        header,
        [
            work.PeerLoad(
                endpoint=endpoint,
                running=2,
                prefill_backlog_tokens=1800,
                kv_tokens=5200,
            )
            for endpoint in endpoints
        ],
    )


def _count_loads_bytes(own: str, subsets: subset.EndpointSubsets) -> float:
    """Returns the bytes per second of a busy daemon's unthrottled loads."""
    rng = random.Random(1)
    endpoints = sorted(subsets.get_endpoints(own))
    busy = set(rng.choices(endpoints, k=IN_FLIGHT))
    sizes = (
        len(peerview.serialize_message(make_loads(sorted(busy & shared))))
        for shared in subsets.find_peers(own).values()
    )
    return sum(sizes) / peers.LOADS_PERIOD_S


def measure_messages() -> list[slope.Slope]:
    """Measures size and CPU time of loads messages by their endpoints."""
    sizes, send_times, receive_times = [], [], []
    for count in (10, 50, 144):
        endpoints = [f"10.0.{n // 250}.{n % 250}:8080" for n in range(count)]
        message = make_loads(endpoints)
        raw = peerview.serialize_message(message)
        sizes.append((count, len(raw)))
        send_times.append(
            (count, slope.time_us(_repeat_send(endpoints), count=100))
        )
        receive_times.append(
            (count, slope.time_us(_repeat_receive(raw), count=100))
        )
    return [
        slope.Slope(
            name="message of loads", unit="bytes an endpoint", points=(*sizes,)
        ),
        slope.Slope(
            name="loads made and serialized",
            unit="us an endpoint",
            points=(*send_times,),
        ),
        slope.Slope(
            name="loads parsed and accepted",
            unit="us an endpoint",
            points=(*receive_times,),
        ),
    ]


def measure_demands() -> list[slope.Slope]:
    """Measures the size of demands messages by their models."""
    points = []
    for count in (1, 4, 9):
        message = peerview.Demands(
            header=make_loads([]).header,
            demands=tuple(
                work.Demand(
                    model=f"grade-large-{number}",
                    prefill_tokens=123_456_789,
                    output_tokens=12_345_678,
                    kv_token_s=1_234_567_890,
                    lost_s=1234.5,
                )
                for number in range(count)
            ),
        )
        points.append((count, len(peerview.serialize_message(message))))
    return [
        slope.Slope(
            name="message of demands", unit="bytes a model", points=(*points,)
        )
    ]


def _repeat_send(endpoints: list[str]):
    def send() -> None:
        for _ in range(100):
            peerview.serialize_message(make_loads(endpoints))

    return send


def _repeat_receive(raw: bytes):
    def receive() -> None:
        view = peerview.PeerView()
        for _ in range(100):
            message = peerview.parse_message(raw).unwrap()
            view.accept(message)
            peerview.read_loads(message)

    return receive
