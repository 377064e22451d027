"""What happened to a job, and in a run as a whole, told from log files.

The files are those of any number of dispatch hosts. Whatever stands before
the JSON object of a line is taken for the name of its host.
"""

import collections
from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import orjson

# Faults of hosts and servers that are told with a job if they happened while
# it was under way, or this long before.
CONTEXT_BEFORE = datetime.timedelta(seconds=2)
# Events that explain why a job went badly.
CONTEXT_EVENTS = frozenset(
    {
        "process.started",
        "drain.started",
        "link.closed",
        "store.lost",
        "pool.claimed",
        "pool.lost",
        "backend.suspect",
        "backend.fenced",
        "backend.gone",
        "backend.set_aside",
        "internal.error",
        "log.suppressed",
    }
)
# What the reasons in answers mean.
CAUSES = {
    "done": "every task ended well",
    "attempts": "a task failed as often as its queue allows",
    "backlog": "the queue was longer than the caller would wait",
    "too late": "the work could not end before the caller leaves",
    "expired": "the caller's time was over before the work was",
    "queue full": "the scheduler held as many jobs as it may",
    "no backend server": "the scheduler had no usable backend server",
    "fits no backend server": "no backend server is large enough for a task",
    "no scheduler": "no host that schedules a pool could be reached",
    "scheduler lost": "the link to the scheduling host broke",
    "scheduler changed": "another host took the backend server over",
    "peer lost": "the link to a host that ran a task broke",
    "leaving": "the scheduling host was shutting down",
    "twice": "the same job was under way already",
    "cancelled": "the caller cancelled it",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A line of a log."""

    at: datetime.datetime
    host: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        fields = " ".join(
            f"{key}={value}" for key, value in self.fields.items()
        )
        return f"{self.at:%H:%M:%S.%f} {self.host} {self.event} {fields}"


def parse(line: str, host: str) -> Entry | None:
    """Return the entry that a line holds, if it holds one."""
    before, brace, rest = line.partition("{")
    try:
        fields = orjson.loads(brace + rest)
        at = datetime.datetime.fromisoformat(fields.pop("timestamp"))
        event = fields.pop("event")
    except (orjson.JSONDecodeError, KeyError, ValueError):
        return None
    fields.pop("level", None)
    words = before.split()
    return Entry(at, words[-1] if words else host, event, fields)


def read(lines: Iterable[tuple[str, str]]) -> list[Entry]:
    """Return the entries of host names and lines, in order of time."""
    entries = [parse(line, host) for host, line in lines]
    return sorted(
        (entry for entry in entries if entry is not None),
        key=lambda entry: entry.at,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class JobHistory:
    """A job's lines, what went on around it, and why it ended as it did."""

    job_id: str
    entries: tuple[Entry, ...]
    context: tuple[Entry, ...]
    verdict: str


def of_job(job_id: str, entries: list[Entry]) -> JobHistory | None:
    """Return a job's history, None if no line names it."""
    own = [entry for entry in entries if _names(entry, job_id)]
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
        and _concerns(entry, hosts, backends)
    ]
    return JobHistory(
        job_id, tuple(own), tuple(context), _verdict(own, context)
    )


def _names(entry: Entry, job_id: str) -> bool:
    if entry.fields.get("job") == job_id:
        return True
    return str(entry.fields.get("task", "")).startswith(f"{job_id}.")


def _concerns(entry: Entry, hosts: set[str], backends: set[Any]) -> bool:
    backend = entry.fields.get("backend")
    if backend is not None:
        return backend in backends
    return entry.host in hosts


def _verdict(own: list[Entry], context: list[Entry]) -> str:
    last = _last(own, "job.answered") or _last(own, "job.ended")
    if last is None:
        if _last(own, "job.left") or _last(own, "job.abandoned"):
            return "the caller left before there was an answer"
        return "no answer was logged: the caller's host was lost"
    outcome, reason = last.fields["outcome"], last.fields["reason"]
    cause = CAUSES.get(reason, reason)
    parts = [f"{outcome}: {cause}"]
    if outcome == "done":
        parts += _delays(own)
    if context and outcome != "done":
        kinds = collections.Counter(entry.event for entry in context)
        seen = ", ".join(f"{name} x{count}" for name, count in kinds.items())
        parts.append(f"around it: {seen}")
    return "; ".join(parts)


def _last(entries: list[Entry], event: str) -> Entry | None:
    found = [entry for entry in entries if entry.event == event]
    return found[-1] if found else None


def _delays(own: list[Entry]) -> list[str]:
    """Return what made a job that was served slow, the largest part first."""
    ended = _last(own, "job.ended")
    if ended is None or ended.fields["late_ms"] <= 0:
        return []
    parts = {
        "waited for room": max(
            (entry.fields.get("waited_ms", 0.0) for entry in own), default=0.0
        ),
        "slowest run": _slowest_run(own),
    }
    told = sorted(parts.items(), key=lambda part: -part[1])
    again = sum(
        entry.event == "task.placed" and entry.fields["run"] > 1
        for entry in own
    )
    lines = [f"late by {ended.fields['late_ms']} ms"]
    lines += [f"{name} {value:.0f} ms" for name, value in told]
    if again:
        lines.append(f"{again} runs started again")
    return lines


def _slowest_run(own: list[Entry]) -> float:
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
    """A whole run: answers by outcome and reason, and what went wrong."""

    answers: list[tuple[str, str, int]]
    events: list[tuple[str, int]]
    slowest: list[tuple[str, float, str]]


def summarise(entries: list[Entry], count: int = 10) -> Summary:
    """Return a summary, with so many of the jobs that were latest."""
    answers: collections.Counter[tuple[str, str]] = collections.Counter()
    late: list[tuple[float, str]] = []
    for entry in entries:
        if entry.event == "job.answered":
            fields = entry.fields
            answers[fields["outcome"], fields["reason"]] += 1
        elif entry.event == "job.ended":
            late.append((entry.fields["late_ms"], entry.fields["job"]))
    latest = sorted(late, reverse=True)[:count]
    slowest = []
    for late_ms, job_id in latest:
        history = of_job(job_id, entries)
        verdict = "" if history is None else history.verdict
        slowest.append((job_id, late_ms, verdict))
    events = collections.Counter(
        entry.event for entry in entries if entry.event in CONTEXT_EVENTS
    )
    return Summary(
        [(*key, number) for key, number in answers.most_common()],
        events.most_common(),
        slowest,
    )
