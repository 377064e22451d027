"""Jobs and answers of the client library."""

import dataclasses
import datetime
from typing import Any

import pydantic

from waxwingwalk.core import results


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """A task; ``run_time`` is the caller's estimate of its duration."""

    payload: Any
    run_time: datetime.timedelta = datetime.timedelta(seconds=0.3)
    processors: float = 0.0
    memory: int = 0
    accelerators: int = 0

    def content(self) -> dict[str, Any]:
        """Return the task as JSON members."""
        return {
            "payload": self.payload,
            "run_time_seconds": self.run_time.total_seconds(),
            "processors": self.processors,
            "memory": self.memory,
            "accelerators": self.accelerators,
        }


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """A job to submit.

    A job that is not idempotent is resubmitted only if it has a key: a
    resubmission with the same key joins the run of the earlier one.
    """

    service: str
    tasks: list[Task]
    deadline: datetime.timedelta = datetime.timedelta(seconds=30)
    is_idempotent: bool = True
    key: str | None = None

    @property
    def may_be_resubmitted(self) -> bool:
        """Whether a submission with an unknown outcome may be retried."""
        return self.is_idempotent or self.key is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a job over all its submissions.

    ``may_have_run`` is False only if no submission started a task.
    """

    code: results.ResultCode
    detail: str
    job_id: str | None
    results: list[Any]
    may_have_run: bool
    submissions: int
    retry_after: datetime.timedelta | None = None

    @property
    def is_complete(self) -> bool:
        """Whether all results are present."""
        return self.code is results.ResultCode.COMPLETE


class ReplyModel(pydantic.BaseModel):
    """A reply of the callers' API."""

    model_config = pydantic.ConfigDict(extra="allow")

    code: results.ResultCode
    detail: str = ""
    job: str | None = None
    results: list[Any] = []
    retry_after_seconds: float | None = None
    keys: list[str] = []
