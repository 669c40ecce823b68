"""The health page: /healthz, /readyz, /metrics (Prometheus text)."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from twisted.web.resource import Resource
from twisted.web.server import Site

from ochrecourse.gateway.daemon import Daemon


class _Figures:
    """The daemon's figures as Prometheus wants them."""

    def __init__(self, daemon: Daemon) -> None:
        self.daemon = daemon

    def collect(self) -> Iterable[Metric]:
        families: dict[str, Any] = {}
        for name, value in self.daemon.figures().items():
            bare, _, label = name.partition("{")
            key, _, text = label.rstrip("}").partition("=")
            labels = [key] if label else []
            if bare not in families:
                kind = CounterMetricFamily if bare.endswith("_total") else GaugeMetricFamily
                families[bare] = kind(f"ochrecourse_{bare}", bare.replace("_", " "), labels=labels)
            families[bare].add_metric([text.strip('"')] if label else [], value)
        return families.values()


class _Page(Resource):
    isLeaf = True

    def __init__(self, daemon: Daemon) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.daemon = daemon
        self.registry = CollectorRegistry()
        self.registry.register(_Figures(daemon))

    def render_GET(self, request: Any) -> bytes:
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        if request.path == b"/healthz":
            return b"ok\n"
        if request.path == b"/readyz":
            ready, why = self.daemon.ready()
            request.setResponseCode(200 if ready else 503)
            return why.encode() + b"\n"
        if request.path == b"/metrics":
            return generate_latest(self.registry)
        request.setResponseCode(404)
        return b"there are /healthz, /readyz and /metrics\n"


def admin_site(daemon: Daemon) -> Site:
    return Site(_Page(daemon))  # type: ignore[no-untyped-call]
