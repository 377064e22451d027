"""Jobs and answers as callers see them."""

import dataclasses
import datetime
from typing import Any

import pydantic

from waxwingwalk.core import results


@dataclasses.dataclass(frozen=True, slots=True)
class Task:
    """One task; ``run_time`` is what the caller expects it to take."""

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

    A job that is not idempotent is submitted again only with a key, since
    then the earlier submission and the later one are the same run.
    """

    service: str
    tasks: list[Task]
    deadline: datetime.timedelta = datetime.timedelta(seconds=30)
    is_idempotent: bool = True
    key: str | None = None

    @property
    def may_be_resubmitted(self) -> bool:
        """Whether a submission whose fate is unknown may be repeated."""
        return self.is_idempotent or self.key is not None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """How a job ended, over all submissions of it.

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
        """Whether the results are all there."""
        return self.code is results.ResultCode.COMPLETE


class ReplyModel(pydantic.BaseModel):
    """A reply of the callers' interface."""

    model_config = pydantic.ConfigDict(extra="allow")

    code: results.ResultCode
    detail: str = ""
    job: str | None = None
    results: list[Any] = []
    retry_after_seconds: float | None = None
    keys: list[str] = []
