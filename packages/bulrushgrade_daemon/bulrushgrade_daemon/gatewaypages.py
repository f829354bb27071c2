"""HTTP pages of a gateway for the load balancer and for operators."""

from collections.abc import Callable

import msgspec

from bulrushgrade import kernel as kernel_module
from bulrushgrade_daemon import answerwatch
from bulrushgrade_daemon import decisionlog
from bulrushgrade_daemon import gatewayservices
from bulrushgrade_daemon import metrics
from bulrushgrade_daemon import pages


def make_ready_finder(ready: Callable[[], bool]) -> Callable[[str], pages.Page]:
    """Returns a function that finds the readiness page."""

    def find(path: str) -> pages.Page:
        if ready():
            return pages.Page(status=200, body=b"ready\n")
        return pages.Page(status=503, body=b"not ready\n")

    return find


def make_admin_finder(
    registry: metrics.Metrics, kernel: kernel_module.Kernel
) -> Callable[[str], pages.Page]:
    """Returns a function that finds an operator page by its path."""

    def find(path: str) -> pages.Page:
        if path == "/metrics":
            return pages.Page(status=200, body=registry.render())
        if path == "/dump":
            body = msgspec.json.encode(kernel.dump(), enc_hook=str)
            return pages.Page(
                status=200, body=body, content_type=b"application/json"
            )
        return pages.Page(status=404, body=b"no such page\n")

    return find


def register_metrics(
    services: gatewayservices.GatewayServices, log: decisionlog.DecisionLog
) -> None:
    """Exports the counters and gauges of the services as metrics."""
    for name, doc, read in (
        (
            "requests_total",
            "Requests by how they ended, attempts by what came of them.",
            lambda: services.forwarder.counts,
        ),
        (
            "workspace_prompts_total",
            "Prompts to saturated services by what their workspace's share led"
            " to.",
            lambda: services.forwarder.uses.counts,
        ),
        (
            "early_retries_total",
            "Attempts at silent endpoints: given up, or why they went on.",
            lambda: services.forwarder.early_retries.counts,
        ),
        (
            "caller_connections_total",
            "Connections from callers that were closed unread.",
            lambda: services.frontend.counts,
        ),
        (
            "endpoint_connections_total",
            "Connections that failed or were relayed, probes, lost links.",
            lambda: services.connector.counts,
        ),
        (
            "answers_over_limit_total",
            "Answers of endpoints, engines and the store over a bound.",
            answerwatch.counts,
        ),
        (
            "relay_requests_total",
            "Connections that peers asked for, by the reply.",
            lambda: services.relay_server.counts,
        ),
        (
            "endpoint_crashes_total",
            "Checks of endpoints whose answers broke off, crashes found.",
            lambda: services.crashes.counts,
        ),
        (
            "crash_records_total",
            "Records of requests at crashed endpoints.",
            lambda: services.crash_services.sharing.counts,
        ),
        (
            "prompt_part_crashes_total",
            "Prompt parts at crashes, sound ones, trials and refusals.",
            lambda: services.crash_services.parts.counts,
        ),
        (
            "crash_reads_total",
            "Reads of the topic of crashes, probes of a store that fails.",
            lambda: services.crash_services.follower.counts,
        ),
        (
            "peer_reads_total",
            "Reads of the topic of hosts' addresses, probes.",
            lambda: services.follow_peers.counts,
        ),
        (
            "peer_link_total",
            "Datagrams to peers, invalid ones, repeated announcements.",
            lambda: services.link.counts,
        ),
        (
            "log_lines_total",
            "Lines written and dropped.",
            lambda: log.counts,
        ),
        (
            "unreadable_records_total",
            "Records of the store that can't be decoded.",
            lambda: services.view.counts,
        ),
        (
            "configuration_reads_total",
            "Reads of the configuration's topic, probes.",
            lambda: services.follow_configuration.counts,
        ),
        (
            "store_epochs_total",
            "New epochs of the store; answers with a lower one or none.",
            lambda: services.epoch.counts,
        ),
        (
            "stage_orders_total",
            "Orders to engines to change their role.",
            lambda: services.stage_control.counts,
        ),
        (
            "operator_tasks_total",
            "Usage reports and orders of engines by what came of them.",
            lambda: services.tasks.counts,
        ),
        (
            "cache_reads_total",
            "Reads of engines' cache changes.",
            lambda: services.cache_watch.counts,
        ),
        (
            "peer_questions_total",
            "Rounds of queries to peers, and those without all replies.",
            lambda: services.index.counts,
        ),
        (
            "limited_endpoint_requests_total",
            "Requests sent to endpoints that state a limit, by what they were.",
            lambda: services.limits.counts,
        ),
        (
            "endpoint_signals_total",
            "What endpoints stated of themselves; requests they didn't want.",
            lambda: services.signals.counts,
        ),
        (
            "permits_total",
            "Permits for limited endpoints: got, denied, granted to all.",
            lambda: services.permits.counts,
        ),
        (
            "stream_origins_total",
            "Streams whose software version was told to peers, found or not.",
            lambda: services.origins.counts,
        ),
        (
            "engine_speeds_total",
            "Changes of engines' shared speeds, and to uneven or even ones.",
            lambda: services.speeds.counts,
        ),
        (
            "endpoint_reads_total",
            "Reads of the endpoints' topic, probes sent and left to others.",
            lambda: services.follow_endpoints.counts,
        ),
    ):
        services.metrics.register_counts(name, doc, read)
    services.metrics.gauge(
        "open_requests",
        "Requests under way.",
        read=lambda: services.forwarder.open_requests,
    )
    services.metrics.gauge(
        "relayed_connections",
        "Connections of peers to endpoints that this host relays.",
        read=lambda: services.relay_server.open_connections,
    )
    services.metrics.gauge(
        "cut_off",
        "Whether this host seems to be cut off from all endpoints.",
        read=lambda: int(services.connector.is_cut),
    )
    services.metrics.gauge(
        "store_epoch",
        "The newest epoch that the store has stated.",
        read=lambda: services.epoch.value,
    )
    services.metrics.gauge(
        "limited_endpoints",
        "Endpoints that state how many requests a second they accept.",
        read=lambda: services.limits.limited_endpoints,
    )
    services.metrics.gauge(
        "quarantined_requests",
        "Requests that are not sent to endpoints any more.",
        read=lambda: services.crash_services.sharing.quarantined,
    )
    services.metrics.gauge(
        "quarantined_prompt_parts",
        "Prompt parts, or combinations, that are not sent to endpoints.",
        read=lambda: services.crash_services.parts.quarantined,
    )
    services.metrics.gauge(
        "engines_of_known_speed",
        "Engines whose speed is known from the samples of all hosts.",
        read=lambda: services.speeds.known_engines,
    )
    services.metrics.gauge(
        "services_of_uneven_speed",
        "Services whose engines differ so much that shared speeds apply.",
        read=lambda: services.speeds.uneven_services,
    )
    services.metrics.gauge(
        "event_loop_delay_seconds",
        "Average delay of the event loop.",
        read=lambda: services.frontend.loop_delay_s,
    )
