"""Metrics, collected from the state at each scrape."""

from collections.abc import Sequence
import dataclasses

from aioprometheus import collectors
from aioprometheus import renderer

from waxwingwalk.core import state as core_state
from waxwingwalk.entry import traffic

PREFIX = "waxwingwalk"


class MetricsExporter:
    """Exports the state and the traffic counts as metrics."""

    def __init__(
        self, state: core_state.State, sent_traffic: traffic.Traffic
    ) -> None:
        self._state = state
        self._traffic = sent_traffic
        self._registry = collectors.Registry()
        self._counters = {
            field.name: self._counter(field.name)
            for field in dataclasses.fields(core_state.Counters)
        }
        self._refusals = self._counter("connections_refused")
        self._messages = self._counter("messages_sent")
        self._bytes = self._counter("bytes_sent")
        self._gauges = {
            name: collectors.Gauge(
                f"{PREFIX}_{name}", text, registry=self._registry
            )
            for name, text in (
                ("jobs_active", "Jobs without an answer."),
                ("tasks_running", "Tasks sent and not heard of."),
                ("tasks_queued", "Tasks that wait for a slot."),
                ("members_live", "Live entry processes."),
                ("settings_revision", "The settings revision in force."),
            )
        }

    def _counter(self, name: str) -> collectors.Counter:
        return collectors.Counter(
            f"{PREFIX}_{name}_total",
            f"{name.replace('_', ' ').capitalize()}.",
            registry=self._registry,
        )

    def record_refusal(self, listener: str, reason: str) -> None:
        """Count a request that was refused, or a connection closed."""
        self._refusals.inc({"listener": listener, "reason": reason})

    def render(self, accepts: Sequence[str]) -> tuple[bytes, dict[str, str]]:
        """Return the rendered metrics and their HTTP headers."""
        self._collect()
        content, headers = renderer.render(self._registry, accepts)
        return content, headers

    def _collect(self) -> None:
        state = self._state
        for name, counter in self._counters.items():
            counter.set({}, getattr(state.counters, name))
        for kind, count in self._traffic.messages.items():
            self._messages.set({"kind": kind}, count)
        for kind, size in self._traffic.sent_bytes.items():
            self._bytes.set({"kind": kind}, size)
        queued = sum(queue.task_count for queue in state.queues.values())
        values = {
            "jobs_active": state.active_jobs,
            "tasks_running": len(state.attempts),
            "tasks_queued": queued,
            "members_live": len(state.membership.live_addresses()),
            "settings_revision": state.settings.number,
        }
        for name, value in values.items():
            self._gauges[name].set({}, value)
