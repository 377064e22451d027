"""Metrics of a dispatch host, in the text format of Prometheus."""

from collections.abc import Sequence
import datetime

from aioprometheus import collectors
from aioprometheus import renderer

from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import reducer as dispatch_reducer

PREFIX = "waxwingwalk"
# Upper bounds in seconds. Half and twice the objectives of the current queues
# lie between 0.06 and 3.2.
LATENCY_BUCKETS = (
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class HostMetrics:
    """Counters and histograms of one dispatch host."""

    def __init__(self) -> None:
        self._registry = collectors.Registry()
        self._jobs = self._counter("jobs", "Jobs by outcome and reason.")
        self._decisions = self._counter("decisions", "Decisions by kind.")
        self._backend_calls = self._counter(
            "backend_calls", "Calls to backend servers by kind and outcome."
        )
        self._store_calls = self._counter(
            "store_calls", "Calls to the store by kind and result."
        )
        self._suppressed = self._counter(
            "log_lines_suppressed", "Log lines left out."
        )
        self._job_seconds = self._histogram(
            "job_seconds", "Time from a job's arrival to its answer."
        )
        self._backend_call_seconds = self._histogram(
            "backend_call_seconds", "Time that backend servers take to answer."
        )
        self._store_call_seconds = self._histogram(
            "store_call_seconds", "Time that the store takes to answer."
        )
        self._lag_seconds = self._histogram(
            "event_loop_lag_seconds", "How late timers of the process fire."
        )
        self._gauges = {
            name: collectors.Gauge(
                f"{PREFIX}_{name}", text, registry=self._registry
            )
            for name, text in (
                ("jobs_pending", "Jobs of callers here without an answer."),
                ("jobs_scheduled", "Jobs that this host schedules."),
                ("runs", "Runs on backend servers that this host orders."),
                ("backends", "Backend servers that this host orders."),
                ("pools", "Pools that this host schedules."),
                ("backlog_seconds", "How long waiting work keeps the pool."),
                ("catalog_version", "The version of the catalog in force."),
            )
        }
        self._slowness = collectors.Gauge(
            f"{PREFIX}_backend_slowness",
            "Learned run time over estimated, by backend server.",
            registry=self._registry,
        )

    def _counter(self, name: str, text: str) -> collectors.Counter:
        return collectors.Counter(
            f"{PREFIX}_{name}_total", text, registry=self._registry
        )

    def _histogram(self, name: str, text: str) -> collectors.Histogram:
        return collectors.Histogram(
            f"{PREFIX}_{name}",
            text,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS),
        )

    def record_job_answered(
        self,
        queue: str,
        answer: effects.AnswerJob,
        elapsed: datetime.timedelta,
    ) -> None:
        """Count the answer to a caller's job."""
        labels = {
            "queue": queue,
            "outcome": answer.outcome.value,
            "reason": answer.reason,
        }
        self._jobs.inc(labels)
        self._job_seconds.add({"queue": queue}, elapsed.total_seconds())

    def record_job_abandoned(self, queue: str) -> None:
        """Count a job whose caller left."""
        self._jobs.inc(
            {"queue": queue, "outcome": "abandoned", "reason": "caller left"}
        )

    def record_decision(self, event: str) -> None:
        """Count a decision."""
        self._decisions.inc({"event": event})

    def record_backend_call(
        self, kind: str, outcome: str, elapsed: datetime.timedelta
    ) -> None:
        """Count a call to a backend server."""
        self._backend_calls.inc({"kind": kind, "outcome": outcome})
        self._backend_call_seconds.add({"kind": kind}, elapsed.total_seconds())

    def record_store_call(
        self, kind: str, outcome: str, elapsed: datetime.timedelta
    ) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"kind": kind, "result": outcome})
        self._store_call_seconds.add({"kind": kind}, elapsed.total_seconds())

    def record_event_loop_lag(self, lag: datetime.timedelta) -> None:
        """Record how late a timer fired."""
        self._lag_seconds.add({}, max(0.0, lag.total_seconds()))

    def render(
        self,
        reducer: dispatch_reducer.Reducer,
        suppressed: int,
        now: datetime.datetime,
        accept_headers: Sequence[str],
    ) -> tuple[bytes, dict[str, str]]:
        """Return the metrics and the headers of the response."""
        backends = list(reducer.run_tracker)
        catalog = reducer.catalog
        values = {
            "jobs_pending": len(reducer.front.pending),
            "jobs_scheduled": len(reducer.scheduler.jobs),
            "runs": sum(len(each.runs) for each in backends),
            "backends": len(backends),
            "pools": len(reducer.ownership.claims),
            "backlog_seconds": reducer.scheduler.backlog(now).total_seconds(),
            "catalog_version": 0 if catalog is None else catalog.version,
        }
        for name, value in values.items():
            self._gauges[name].set({}, value)
        for backend in backends:
            labels = {"backend": backend.incarnation.backend_id}
            self._slowness.set(labels, backend.slowness(now))
        self._suppressed.set({}, suppressed)
        content, headers = renderer.render(self._registry, accept_headers)
        return content, headers
