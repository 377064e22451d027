"""Explains what happened to a job, or to all jobs, from log files.

The files may come from any number of dispatch hosts. If there is text before
the JSON object of a line, its last word is used as the name of the host.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import orjson

# Faults of hosts and servers are reported with a job if they happened while it
# was running or within this time before it.
CONTEXT_BEFORE = datetime.timedelta(seconds=2)
# Events that may explain why a job failed or was late.
CONTEXT_EVENTS = frozenset(
    {
        "process.started",
        "drain.started",
        "link.closed",
        "store.lost",
        "evacuation.started",
        "evacuation.ended",
        "pool.claimed",
        "pool.inquired",
        "pool.lost",
        "pool.unscheduled",
        "backend.suspect",
        "backend.fenced",
        "backend.gone",
        "backend.set_aside",
        "internal.error",
        "log.suppressed",
    }
)
# Explanations of the reasons that answers contain.
CAUSES = {
    "done": "every task completed",
    "attempts": "a task failed as often as its queue allows",
    "backlog": "the backlog was longer than the time that the caller waits",
    "too late": "the job could not end before the caller's deadline",
    "expired": "the caller's deadline passed before the job had ended",
    "queue full": "the scheduler held the maximum number of jobs",
    "no backend server": "the scheduler had no usable backend server",
    "fits no backend server": "no backend server is large enough for a task",
    "no scheduler": "no host that schedules a pool could be reached",
    "scheduler lost": "the link to the scheduling host broke",
    "scheduler changed": "another host took over the backend server",
    "peer lost": "the link to a host that ran a task broke",
    "leaving": "the scheduling host, or the caller's, was shutting down",
    "zone evacuated": "operators had evacuated the zones that could serve it",
    "twice": "the same job was already running",
    "cancelled": "the caller cancelled the job",
}


@dataclasses.dataclass(frozen=True, slots=True)
class LogEntry:
    """A line of a log file."""

    at: datetime.datetime
    host: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(
            f"{key}={value}" for key, value in self.fields.items()
        )
        return f"{self.at:%H:%M:%S.%f} {self.host} {self.event} {fields}"


def parse_line(line: str, host: str) -> LogEntry | None:
    """Return the log entry in a line, None if there is none."""
    before, brace, rest = line.partition("{")
    try:
        fields = orjson.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields.pop("timestamp"))
        event = fields.pop("event")
    except (orjson.JSONDecodeError, KeyError, ValueError):
        return None
    fields.pop("level", None)
    words = before.split()
    return LogEntry(at, words[-1] if words else host, event, fields)


def read_entries(lines: Iterable[tuple[str, str]]) -> list[LogEntry]:
    """Return the entries of (host name, line) pairs, sorted by time."""
    entries = [parse_line(line, host) for host, line in lines]
    return sorted(
        (entry for entry in entries if entry is not None),
        key=lambda entry: entry.at,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class JobHistory:
    """A job's log entries, related events, and an explanation of its end."""

    job_id: str
    entries: tuple[LogEntry, ...]
    context: tuple[LogEntry, ...]
    explanation: str


def explain_job(job_id: str, entries: list[LogEntry]) -> JobHistory | None:
    """Return a job's history, None if no line mentions it."""
    own = [entry for entry in entries if _mentions_job(entry, job_id)]
    if not own:
        return None
    backends = {entry.fields.get("backend") for entry in own} - {None}
    start, end = own[0].at - CONTEXT_BEFORE, own[-1].at
    hosts = {entry.host for entry in own}
    context = [
        entry
        for entry in entries
        if start <= entry.at <= end
        and entry.event in CONTEXT_EVENTS
        and _is_related(entry, hosts, backends)
    ]
    return JobHistory(
        job_id, tuple(own), tuple(context), _explain(own, context)
    )


def _mentions_job(entry: LogEntry, job_id: str) -> bool:
    if entry.fields.get("job") == job_id:
        return True
    return str(entry.fields.get("task", "")).startswith(f"{job_id}.")


def _is_related(entry: LogEntry, hosts: set[str], backends: set[Any]) -> bool:
    backend = entry.fields.get("backend")
    if backend is not None:
        return backend in backends
    return entry.host in hosts


def _explain(own: list[LogEntry], context: list[LogEntry]) -> str:
    last = _find_last(own, "job.answered") or _find_last(own, "job.ended")
    if last is None:
        if _find_last(own, "job.left") or _find_last(own, "job.abandoned"):
            return "the caller left before the job was answered"
        return "no answer was logged: the caller's host was lost"
    outcome, reason = last.fields["outcome"], last.fields["reason"]
    cause = CAUSES.get(reason, reason)
    parts = [f"{outcome}: {cause}"]
    if outcome == "done":
        parts += _describe_delays(own)
    if context and outcome != "done":
        kinds = collections.Counter(entry.event for entry in context)
        seen = ", ".join(f"{name} x{count}" for name, count in kinds.items())
        parts.append(f"related events: {seen}")
    return "; ".join(parts)


def _find_last(entries: list[LogEntry], event: str) -> LogEntry | None:
    found = [entry for entry in entries if entry.event == event]
    return found[-1] if found else None


def _describe_delays(own: list[LogEntry]) -> list[str]:
    """Return the delays of a late job, the largest first."""
    ended = _find_last(own, "job.ended")
    if ended is None or ended.fields["late_ms"] <= 0:
        return []
    parts = {
        "waited for capacity": max(
            (entry.fields.get("waited_ms", 0.0) for entry in own), default=0.0
        ),
        "slowest run": _longest_run_ms(own),
    }
    delays = sorted(parts.items(), key=lambda part: -part[1])
    restarts = sum(
        entry.event == "task.placed" and entry.fields["run"] > 1
        for entry in own
    )
    lines = [f"late by {ended.fields['late_ms']} ms"]
    lines += [f"{name} {value:.0f} ms" for name, value in delays]
    if restarts:
        lines.append(f"{restarts} runs restarted")
    return lines


def _longest_run_ms(own: list[LogEntry]) -> float:
    placed = {
        (entry.fields["task"], entry.fields["run"]): entry.at
        for entry in own
        if entry.event == "task.placed"
    }
    times = [
        (entry.at - started) / datetime.timedelta(milliseconds=1)
        for entry in own
        if entry.event == "task.ended"
        and (
            started := placed.get((entry.fields["task"], entry.fields["run"]))
        )
    ]
    return max(times, default=0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """All jobs: answers by outcome and reason, related events, late jobs."""

    answers: list[tuple[str, str, int]]
    events: list[tuple[str, int]]
    most_late_jobs: list[tuple[str, float, str]]


def summarise(entries: list[LogEntry], count: int = 10) -> Summary:
    """Return a summary with the ``count`` jobs of the highest ``late_ms``."""
    answers: collections.Counter[tuple[str, str]] = collections.Counter()
    late: list[tuple[float, str]] = []
    for entry in entries:
        if entry.event == "job.answered":
            fields = entry.fields
            answers[fields["outcome"], fields["reason"]] += 1
        elif entry.event == "job.ended":
            late.append((entry.fields["late_ms"], entry.fields["job"]))
    most_late = sorted(late, reverse=True)[:count]
    most_late_jobs = []
    for late_ms, job_id in most_late:
        history = explain_job(job_id, entries)
        explanation = "" if history is None else history.explanation
        most_late_jobs.append((job_id, late_ms, explanation))
    events = collections.Counter(
        entry.event for entry in entries if entry.event in CONTEXT_EVENTS
    )
    return Summary(
        [(*key, number) for key, number in answers.most_common()],
        events.most_common(),
        most_late_jobs,
    )
