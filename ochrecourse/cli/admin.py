"""The admin endpoint of the daemon over HTTP: /healthz, /readyz and /metrics (Prometheus text)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from twisted.web.resource import Resource
from twisted.web.server import Site

from ochrecourse.gateway.daemon import Daemon

METRIC_PREFIX = "ochrecourse_"
COUNTER_SUFFIX = "_total"  # a metric without it is a gauge
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_SERVICE_UNAVAILABLE = 503


class _MetricName(NamedTuple):
    """The name of a daemon metric, `family` or `family{label="value"}`, split into its components."""

    family: str
    label_names: list[str]
    label_values: list[str]


def _parse_metric_name(name: str) -> _MetricName:
    family, _, label = name.partition("{")
    if not label:
        return _MetricName(family, [], [])
    label_name, _, quoted_value = label.rstrip("}").partition("=")
    return _MetricName(family, [label_name], [quoted_value.strip('"')])


class _MetricsCollector:
    """Exports the daemon's metrics to the Prometheus client at each scrape."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def collect(self) -> Iterable[Metric]:
        """Returns one metric family for each family name, in the order of the daemon's metrics."""
        families: dict[str, Any] = {}
        for name, value in self.daemon.figures().items():
            metric = _parse_metric_name(name)
            if metric.family not in families:
                families[metric.family] = _new_family(metric)
            families[metric.family].add_metric(metric.label_values, value)
        return families.values()


def _new_family(metric: _MetricName) -> Any:
    family_class = CounterMetricFamily if metric.family.endswith(COUNTER_SUFFIX) else GaugeMetricFamily
    documentation = metric.family.replace("_", " ")
    return family_class(f"{METRIC_PREFIX}{metric.family}", documentation, labels=metric.label_names)


class _AdminResource(Resource):
    """Serves every path of the admin endpoint."""

    isLeaf = True

    def __init__(self, daemon: Daemon) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.daemon = daemon
        self.registry = CollectorRegistry()
        self.registry.register(_MetricsCollector(daemon))

    def render_GET(self, request: Any) -> bytes:
        """Returns the response body of a GET request; called by Twisted."""
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        if request.path == b"/healthz":
            return b"ok\n"
        if request.path == b"/readyz":
            ready, reason = self.daemon.ready()
            request.setResponseCode(HTTP_OK if ready else HTTP_SERVICE_UNAVAILABLE)
            return reason.encode() + b"\n"
        if request.path == b"/metrics":
            return generate_latest(self.registry)
        request.setResponseCode(HTTP_NOT_FOUND)
        return b"there are /healthz, /readyz and /metrics\n"


def admin_site(daemon: Daemon) -> Site:
    """Returns the Twisted site that serves the admin endpoint of a daemon."""
    return Site(_AdminResource(daemon))  # type: ignore[no-untyped-call]
