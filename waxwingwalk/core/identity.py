"""Identifiers of processes and jobs.

A process is identified by its peer address and an incarnation, an identifier
generated at start. A process restarted at the same address is therefore a
different process. A job's id contains the process that coordinates the job,
so that any entry process can forward a request about it.

::

    process = ProcessId("10.0.0.4:7101", "5f3a9c0b")
    job_id = JobId(process, 17)
    str(job_id)  # "10.0.0.4_7101.5f3a9c0b.17"
"""

import dataclasses
import datetime
import re
import secrets

_JOB_ID = re.compile(
    r"(?P<host>[0-9A-Za-z\-:]+(?:\.[0-9]+)*)_(?P<port>[0-9]{1,5})"
    r"\.(?P<incarnation>[0-9a-f]{8,32})\.(?P<serial>[0-9]{1,18})"
)
_RANDOM_BYTES = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessId:
    """An entry process: its peer address (``host:port``) and incarnation."""

    address: str
    incarnation: str

    def __str__(self) -> str:
        return f"{self.address}/{self.incarnation}"


@dataclasses.dataclass(frozen=True, slots=True)
class JobId:
    """A job: its coordinator and a serial number assigned by it."""

    coordinator: ProcessId
    serial: int

    def __str__(self) -> str:
        host, _, port = self.coordinator.address.rpartition(":")
        incarnation = self.coordinator.incarnation
        return f"{host}_{port}.{incarnation}.{self.serial}"


def parse_job_id(text: str) -> JobId | None:
    """Return the job id in ``text``, or None if it is malformed."""
    match = _JOB_ID.fullmatch(text)
    if match is None:
        return None
    address = f"{match['host']}:{match['port']}"
    process = ProcessId(address, match["incarnation"])
    return JobId(process, int(match["serial"]))


def task_name(job_id: str, index: int) -> str:
    """Return the name that identifies a task to backend servers."""
    return f"{job_id}/{index}"


def new_incarnation(now: datetime.datetime) -> str:
    """Return a new unique incarnation.

    It begins with the start time in milliseconds, so that of two
    incarnations at one address the greater one is the newer.
    """
    milliseconds = int(now.timestamp() * 1000)
    return f"{milliseconds:012x}{secrets.token_hex(_RANDOM_BYTES)}"
