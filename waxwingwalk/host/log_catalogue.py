"""Every event that a dispatch host logs, with the fields of its line.

``docs/ref/host-logs.md`` is generated from this module, and a test compares
it with the log calls in the code.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class LogEvent:
    """An event: when it is logged, and its fields."""

    when: str
    fields: tuple[str, ...]


EVENTS: dict[str, LogEvent] = {
    "process.started": LogEvent(
        "the process has started and listens",
        ("host", "zone", "incarnation", "callers", "peers", "store"),
    ),
    "process.stopped": LogEvent("the process exits", ("host",)),
    "process.delayed": LogEvent(
        "the process was paused, or short of processor time, for this long; "
        "delays of more than 200 ms are logged",
        ("delay_ms",),
    ),
    "drain.started": LogEvent(
        "SIGTERM arrived; `jobs` came from callers of this host, `scheduled` "
        "counts all jobs that it schedules",
        ("limit_seconds", "jobs", "scheduled"),
    ),
    "drain.forced": LogEvent(
        "a second signal ended the drain; `jobs` of callers were unanswered",
        ("jobs",),
    ),
    "drain.request_read": LogEvent(
        "a job was submitted by a caller `left_ms` before the limit of the "
        "drain; `is_reused` says whether its connection carried a request "
        "before the drain",
        ("job", "left_ms", "is_reused"),
    ),
    "drain.ended": LogEvent(
        "no work is left, or the time limit has passed; `jobs` of callers are "
        "unanswered, `scheduled` jobs have not ended, `backends` are not "
        "released",
        ("is_idle", "jobs", "scheduled", "backends"),
    ),
    "drain.cut_off": LogEvent(
        "the connections of callers were closed after the time limit; `jobs` "
        "had no answer and got one that tells of the shutdown, if their "
        "callers could still be reached; the first 20 of these are listed",
        ("jobs", "unanswered"),
    ),
    "connection.refused": LogEvent(
        "requests were refused, or connections closed, to keep to the limits; "
        "one line a second for each `listener` and `reason`, with their "
        "`count`",
        ("listener", "reason", "count"),
    ),
    "settings.reloaded": LogEvent(
        "the settings file changed", ("changed", "needs_restart")
    ),
    "settings.rejected": LogEvent(
        "the settings file is not valid; the previous settings stay in force",
        ("error",),
    ),
    "store.lost": LogEvent(
        "a table cannot be read; `version` is the newest that was read",
        ("table", "reason", "version"),
    ),
    "store.regained": LogEvent(
        "a table can be read again", ("table", "version")
    ),
    "store.history_gone": LogEvent(
        "the feed has a gap; the table is read again in full",
        ("table", "version"),
    ),
    "row.malformed": LogEvent(
        "a row is malformed and ignored", ("table", "key", "error")
    ),
    "host.registered": LogEvent("this host's row was written", ("host",)),
    "host.still_registered": LogEvent(
        "this host's row could not be removed", ("reason",)
    ),
    "link.opened": LogEvent(
        "a link to another host was opened, by this host if `is_ours`",
        ("host", "incarnation", "is_ours"),
    ),
    "link.held_up": LogEvent(
        "messages arrived after their sender had given up; the link is closed",
        ("delay_ms", "messages"),
    ),
    "link.closed": LogEvent(
        "a link was closed; the jobs and runs that depended on it are ended",
        ("host", "is_ours", "heard_seconds_ago"),
    ),
    "link.broken": LogEvent("a link failed", ("host", "error")),
    "link.not_understood": LogEvent(
        "a host sent messages that this version does not know, or a malformed "
        "frame; ``error`` is the first error, ``messages`` how many there are",
        ("error", "messages"),
    ),
    "catalog.adopted": LogEvent(
        "a version of the configuration took effect",
        ("version", "was", "queues"),
    ),
    "catalog.requested": LogEvent(
        "a newer version is requested from another host, as the store did not "
        "deliver it in time",
        ("host", "version", "was"),
    ),
    "catalog.transfer_failed": LogEvent(
        "the host that was asked did not deliver the version; another one is "
        "asked",
        ("host", "version", "reason"),
    ),
    "catalog.malformed": LogEvent(
        "a configuration is malformed; the previous one stays in force",
        ("error",),
    ),
    "evacuation.started": LogEvent(
        "this host learned that a zone is evacuated, from the `store` or from "
        "the host with this address; no task starts there",
        ("zone", "version", "source"),
    ),
    "evacuation.ended": LogEvent(
        "this host learned that the evacuation of a zone has ended; its share "
        "of new work rises over 2 s",
        ("zone", "version", "source"),
    ),
    "pool.claimed": LogEvent(
        "this host now schedules a pool; `rank` 0 is the owner in the row",
        ("pool", "fence", "row_version", "rank", "former"),
    ),
    "pool.lost": LogEvent(
        "another host now schedules the pool; `is_fenced_off` says that all "
        "its servers refused the fence of this one",
        ("pool", "fence", "is_fenced_off"),
    ),
    "pool.unscheduled": LogEvent(
        "no host is known that schedules a pool, for this long; `reason` is "
        "why this host does not take it over, `waits_for` the host that is "
        "expected to",
        ("pool", "duration_ms", "reason", "waits_for", "row_version"),
    ),
    "pool.inquired": LogEvent(
        "this host, which knows of no scheduler of a pool, asks in the pool's "
        "row for one (`step` is `inquire`), or writes a row with itself as "
        "the owner as there was no answer (`take over`)",
        ("pool", "step", "row_version", "unscheduled_ms"),
    ),
    "pool.write_failed": LogEvent(
        "a pool's row could not be written", ("pool", "reason")
    ),
    "backends.requested": LogEvent(
        "the list of backend servers is requested from another host, as the "
        "store has not delivered one for `age_ms`",
        ("host", "version", "age_ms"),
    ),
    "backend.taken": LogEvent(
        "this host acquired a backend server",
        ("backend", "life", "fence"),
    ),
    "backend.ready": LogEvent(
        "the server answers and has no unknown runs; it may get work",
        ("backend", "was", "fence", "running"),
    ),
    "backend.malformed": LogEvent(
        "a server's answer to a call is malformed, or has values out of "
        "range, and is ignored",
        ("backend", "call"),
    ),
    "backend.suspect": LogEvent(
        "the server did not answer a request, or answered with an error; it "
        "gets no new work",
        ("backend", "reason", "heard_seconds_ago"),
    ),
    "backend.set_aside": LogEvent(
        "the server was ejected: tasks fail there that do not fail elsewhere",
        ("backend", "seconds", "task", "slowness"),
    ),
    "backend.willingness": LogEvent(
        "the server's advertised state changed to ready or draining",
        ("backend", "state"),
    ),
    "backend.fenced": LogEvent(
        "the server accepts only requests of a newer scheduler",
        ("backend", "fence"),
    ),
    "backend.released": LogEvent(
        "the server was released to the pool's new owner",
        ("backend", "life", "fence", "reason"),
    ),
    "backend.gone": LogEvent(
        "an incarnation of the server has ended",
        ("backend", "life", "fence", "reason"),
    ),
    "job.refused": LogEvent(
        "a request is not valid, or uses an unsupported feature",
        ("job", "code", "reason"),
    ),
    "job.routed": LogEvent(
        "the job was sent to the host that schedules a pool",
        ("job", "queue", "scheduler", "expires_in_ms"),
    ),
    "job.queued": LogEvent(
        "the scheduler accepted the job",
        ("job", "queue", "tasks", "work_ms", "due_in_ms", "backlog_ms"),
    ),
    "job.ended": LogEvent(
        "the scheduler has an answer; `runs` counts the runs started",
        ("job", "queue", "outcome", "reason", "age_ms", "late_ms", "runs"),
    ),
    "job.answered": LogEvent(
        "the caller's host sends the answer",
        (
            "job",
            "queue",
            "outcome",
            "reason",
            "catalog_version",
            "elapsed_ms",
            "wait_ms",
        ),
    ),
    "job.left": LogEvent(
        "the caller left or cancelled the job; the scheduler on another "
        "host, if any, is notified",
        ("job",),
    ),
    "job.waits_for_peer": LogEvent(
        "the link to a host that runs tasks of the job was lost; they start "
        "again once their runs there have certainly ended",
        ("job", "tasks", "wait_ms"),
    ),
    "job.abandoned": LogEvent(
        "the scheduler stops a job whose caller has left or cancelled it",
        ("job",),
    ),
    "task.placed": LogEvent(
        "a run is placed on a backend server; `slowness` is the expected run "
        "time divided by the declared one",
        (
            "job",
            "task",
            "run",
            "backend",
            "slowness",
            "free_before",
            "waited_ms",
            "due_in_ms",
            "link",
        ),
    ),
    "task.reserved": LogEvent(
        "a server is reserved for a task of the job that smaller tasks have "
        "passed over for too long; `request` and `free` are in thousandths of "
        "a core",
        ("job", "backend", "request", "free", "start_in_ms"),
    ),
    "task.offered": LogEvent(
        "a run is offered to a host that advertised free capacity",
        ("job", "task", "run", "link", "free", "slowness"),
    ),
    "task.ended": LogEvent(
        "a run ended, as the server reports it or because it is known to be "
        "over, or was lost to another scheduler; `reason` is the evidence; "
        "`link` is the link to the host that offered the task, if one did",
        ("job", "task", "run", "end", "where", "reason", "link"),
    ),
    "task.stuck": LogEvent(
        "a run exceeded its time limit and is stopped; its task starts again",
        ("job", "task", "run", "backend", "limit_ms"),
    ),
    "run.refused": LogEvent(
        "a server refused to start a run, or this host was behind and dropped "
        "the start (`dropped`); the run has not started",
        ("task", "run", "backend", "reason"),
    ),
    "run.settled": LogEvent(
        "a start that was not answered in time was settled: by a poll after a "
        "stop the run `never started` or had `started`, or its end is listed; "
        "`held_ms` is the time since the order",
        ("task", "run", "backend", "found", "processors", "held_ms"),
    ),
    "run.crash_evidence": LogEvent(
        "a server did not list the end of a run: it was `silent` until the "
        "lease had expired, has `crashed` and started again, or answered "
        "again and is `alive`; `was_alone` is whether nothing else ran there. "
        "The run of a task that lost one before is `silent` from its start",
        ("task", "run", "backend", "life", "fate", "was_alone"),
    ),
    "log.suppressed": LogEvent(
        "lines were dropped: over the rate limit, or not read in time",
        ("lines",),
    ),
    "library.warned": LogEvent(
        "a library logged a warning or an error",
        ("library", "message", "error"),
    ),
    "internal.error": LogEvent(
        "an exception that no handler caught",
        ("where", "error", "exc_info"),
    ),
}
