"""Metrics of a dispatch host, in the text format of Prometheus."""

import bisect
import collections
from collections.abc import Sequence
import datetime
import itertools

from aioprometheus import collectors as prometheus
from aioprometheus import histogram
from aioprometheus import renderer

from waxwingwalk.connections import limits
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
# Processors are counted in thousandths of a core.
CORE = 1000


class BufferedCounter:
    """A counter with labels that is added up outside the metrics library.

    Increments of the library take as long as the decisions that they count.
    """

    def __init__(self, counter: prometheus.Counter, *names: str) -> None:
        self._counter = counter
        self._names = names
        self._counts: collections.Counter[tuple[str, ...]] = (
            collections.Counter()
        )

    def increment(self, *values: str, count: int = 1) -> None:
        """Count one or more, with the values of the labels in their order."""
        self._counts[values] += count

    def flush(self) -> None:
        """Add what was counted to the library's counter."""
        for values, count in self._counts.items():
            labels = dict(zip(self._names, values, strict=True))
            self._counter.add(labels, count)
        self._counts.clear()


class BufferedHistogram:
    """A histogram with one label that is added up outside the library.

    Observations of the library take five times as long.
    """

    def __init__(
        self, collector: prometheus.Histogram, name: str | None = None
    ) -> None:
        self._collector = collector
        self._name = name
        # The sum, and counts by the index of the smallest bucket.
        self._sums: dict[str, float] = {}
        self._counts: dict[str, list[int]] = {}
        # What the library has, by the value of the label.
        self._totals: dict[str, histogram.Histogram] = {}

    def observe(self, seconds: float, value: str = "") -> None:
        """Record a duration, with the value of the label."""
        counts = self._counts.get(value)
        if counts is None:
            counts = self._counts[value] = [0] * (len(LATENCY_BUCKETS) + 1)
            self._sums[value] = 0.0
        counts[bisect.bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self._sums[value] += seconds

    def flush(self) -> None:
        """Add what was recorded to the library's histogram."""
        for value, counts in self._counts.items():
            labels = {} if self._name is None else {self._name: value}
            known = self._totals.get(value)
            if known is None:
                known = histogram.Histogram(*LATENCY_BUCKETS)
                self._totals[value] = known
                self._collector.set_value(labels, known)
            # The library counts an observation in all larger buckets, too.
            cumulative = itertools.accumulate(counts)
            for bound, count in zip(known.buckets, cumulative, strict=True):
                known.buckets[bound] += count
            known.sum += self._sums[value]
            known.observations += sum(counts)
        self._counts.clear()
        self._sums.clear()


class HostMetrics:
    """Counters and histograms of one dispatch host."""

    def __init__(self) -> None:
        self._registry = prometheus.Registry()
        self._buffered: list[BufferedCounter | BufferedHistogram] = []
        self._jobs = self._counter(
            "jobs",
            "Jobs by outcome and reason.",
            "queue",
            "outcome",
            "reason",
        )
        self._decisions = self._counter(
            "decisions", "Decisions by kind.", "event"
        )
        self._backend_calls = self._counter(
            "backend_calls",
            "Calls to backend servers by kind and outcome.",
            "kind",
            "outcome",
        )
        self._store_calls = self._counter(
            "store_calls",
            "Calls to the store by kind and result.",
            "kind",
            "result",
        )
        self._link_bytes = self._counter(
            "link_bytes_sent",
            "Bytes sent over links, without frames and headers.",
            "kind",
        )
        self._link_frames = self._counter(
            "link_frames_sent",
            "Frames sent over links that hold messages of a kind.",
            "kind",
        )
        self._refusals = self._counter(
            "connections_refused",
            "Requests refused and connections closed to keep to the limits.",
            "listener",
            "reason",
        )
        self._connections = prometheus.Gauge(
            f"{PREFIX}_connections",
            "Open connections of clients, by listener.",
            registry=self._registry,
        )
        self._ledger: limits.Ledger | None = None
        self._suppressed = prometheus.Counter(
            f"{PREFIX}_log_lines_suppressed_total",
            "Log lines left out.",
            registry=self._registry,
        )
        self._job_seconds = self._histogram(
            "job_seconds", "Time from a job's arrival to its answer.", "queue"
        )
        self._backend_call_seconds = self._histogram(
            "backend_call_seconds",
            "Time that backend servers take to answer.",
            "kind",
        )
        self._store_call_seconds = self._histogram(
            "store_call_seconds",
            "Time that the store takes to answer.",
            "kind",
        )
        self._lag_seconds = self._histogram(
            "event_loop_lag_seconds", "How late timers of the process fire."
        )
        self._gauges = {
            name: prometheus.Gauge(
                f"{PREFIX}_{name}", text, registry=self._registry
            )
            for name, text in (
                ("jobs_pending", "Jobs of callers here without an answer."),
                ("jobs_scheduled", "Jobs that this host schedules."),
                ("runs", "Runs on backend servers that this host orders."),
                ("backends", "Backend servers that this host orders."),
                ("pools", "Pools that this host schedules."),
                ("backlog_seconds", "How long waiting work keeps the pool."),
                (
                    "unsettled_processors",
                    "Processors that runs with an unanswered start occupy.",
                ),
                (
                    "settlement_seconds",
                    "Moving mean of the time from an unanswered start's order "
                    "until it was settled.",
                ),
                ("stranded_cores", "Free cores while tasks wait, else 0."),
                ("catalog_version", "The version of the catalog in force."),
                (
                    "connection_bytes",
                    "What connections of clients hold, as accounted for.",
                ),
            )
        }
        self._slowness = prometheus.Gauge(
            f"{PREFIX}_backend_slowness",
            "Learned run time over estimated, by backend server.",
            registry=self._registry,
        )

        self._evacuated = prometheus.Gauge(
            f"{PREFIX}_zone_evacuated",
            "1 if no task starts in the zone, 0 if it was so before.",
            registry=self._registry,
        )

    def _counter(self, name: str, text: str, *labels: str) -> BufferedCounter:
        counter = BufferedCounter(
            prometheus.Counter(
                f"{PREFIX}_{name}_total", text, registry=self._registry
            ),
            *labels,
        )
        self._buffered.append(counter)
        return counter

    def _histogram(
        self, name: str, text: str, label: str | None = None
    ) -> BufferedHistogram:
        buffered = BufferedHistogram(
            prometheus.Histogram(
                f"{PREFIX}_{name}",
                text,
                registry=self._registry,
                buckets=list(LATENCY_BUCKETS),
            ),
            label,
        )
        self._buffered.append(buffered)
        return buffered

    def record_job_answered(
        self,
        queue: str,
        answer: effects.AnswerJob,
        elapsed: datetime.timedelta,
    ) -> None:
        """Count the answer to a caller's job."""
        self._jobs.increment(queue, answer.outcome.value, answer.reason)
        self._job_seconds.observe(elapsed.total_seconds(), queue)

    def record_job_abandoned(self, queue: str) -> None:
        """Count a job whose caller left."""
        self._jobs.increment(queue, "abandoned", "caller left")

    def record_decision(self, event: str) -> None:
        """Count a decision."""
        self._decisions.increment(event)

    def record_backend_call(
        self, kind: str, outcome: str, elapsed: datetime.timedelta
    ) -> None:
        """Count a call to a backend server."""
        self._backend_calls.increment(kind, outcome)
        self._backend_call_seconds.observe(elapsed.total_seconds(), kind)

    def record_store_call(
        self, kind: str, outcome: str, elapsed: datetime.timedelta
    ) -> None:
        """Count a call to the store."""
        self._store_calls.increment(kind, outcome)
        self._store_call_seconds.observe(elapsed.total_seconds(), kind)

    def record_frame_sent(self, sizes: list[tuple[str, int]]) -> None:
        """Count a frame sent over a link, by kind and bytes of messages."""
        for kind, size in sizes:
            self._link_bytes.increment(kind, count=size)
        for kind in {kind for kind, _ in sizes}:
            self._link_frames.increment(kind)

    def observe_connections(self, ledger: limits.Ledger) -> None:
        """Show what a ledger has."""
        self._ledger = ledger

    def record_refusal(self, listener: str, reason: str) -> None:
        """Count a request that was refused, or a connection closed."""
        self._refusals.increment(listener, reason)

    def record_event_loop_lag(self, lag: datetime.timedelta) -> None:
        """Record how late a timer fired."""
        self._lag_seconds.observe(max(0.0, lag.total_seconds()))

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
            "unsettled_processors": (
                reducer.run_tracker.unsettled_processors / CORE
            ),
            "settlement_seconds": reducer.run_tracker.settlement_seconds,
            "stranded_cores": reducer.scheduler.stranded_processors(now)
            / 1000,
            "catalog_version": 0 if catalog is None else catalog.version,
        }
        if self._ledger is not None:
            values["connection_bytes"] = self._ledger.held
            for listener in limits.Listener:
                self._connections.set(
                    {"listener": listener.value}, self._ledger.count(listener)
                )
        for name, value in values.items():
            self._gauges[name].set({}, value)
        for backend in backends:
            labels = {"backend": backend.incarnation.backend_id}
            self._slowness.set(labels, backend.slowness(now))
        for notice in reducer.evacuation.notices or ():
            self._evacuated.set(
                {"zone": notice.zone}, int(notice.is_evacuated)
            )
        self._suppressed.set({}, suppressed)
        for each in self._buffered:
            each.flush()
        content, headers = renderer.render(self._registry, accept_headers)
        return content, headers
