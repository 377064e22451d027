"""Validation of requests from callers and operators."""

import datetime
from typing import Any

import pydantic
from returns import result

from waxwingwalk.core import model
from waxwingwalk.entry import json_values

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9_\-]{0,63}$"
# The largest memory that a task may declare, in bytes.
MEMORY_MAX = 2**63 - 1


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")


class TaskRequest(_StrictModel):
    """A task of a job; ``memory`` is in bytes."""

    payload: json_values.JsonValue = None
    run_time_seconds: float = pydantic.Field(0.3, gt=0, le=3600)
    processors: float = pydantic.Field(0.0, ge=0, le=4096)
    memory: int = pydantic.Field(0, ge=0, le=MEMORY_MAX)
    accelerators: int = pydantic.Field(0, ge=0, le=1024)

    def spec(self) -> model.TaskSpec:
        """Return the task in the reducer's model."""
        return model.TaskSpec(
            self.payload,
            datetime.timedelta(seconds=self.run_time_seconds),
            self.processors,
            self.memory,
            self.accelerators,
        )


class JobRequest(_StrictModel):
    """A submission."""

    service: str = pydantic.Field(pattern=NAME_PATTERN)
    team: str = pydantic.Field(pattern=NAME_PATTERN)
    tasks: list[TaskRequest] = pydantic.Field(min_length=1)
    deadline_seconds: float | None = pydantic.Field(None, gt=0, le=3600)
    idempotent: bool = True
    key: str | None = pydantic.Field(None, min_length=1, max_length=256)
    wait: bool = True


class KeysRequest(_StrictModel):
    """A request for a block of issued keys."""

    team: str = pydantic.Field(pattern=NAME_PATTERN)
    count: int = pydantic.Field(1, ge=1, le=1000)


class ChangeRequest(_StrictModel):
    """A change of settings: paths with new values, or None to unset one."""

    changes: dict[str, Any] = pydantic.Field(min_length=1)
    reason: str = pydantic.Field(min_length=1, max_length=500)
    author: str = pydantic.Field("", max_length=100)
    based_on: int | None = pydantic.Field(None, ge=0)


class RollBackRequest(_StrictModel):
    """A request to restore the tree of an earlier revision."""

    revision: int = pydantic.Field(ge=0)
    reason: str = pydantic.Field("", max_length=500)
    author: str = pydantic.Field("", max_length=100)


def describe_errors(error: pydantic.ValidationError) -> str:
    """Return all errors of a request in one line."""
    return "; ".join(
        f"{'.'.join(str(part) for part in each['loc']) or 'body'}: "
        f"{each['msg']}"
        for each in error.errors()
    )


def parse_job(body: bytes) -> result.Result[JobRequest, str]:
    """Return a validated submission, or a description of its errors."""
    try:
        return result.Success(JobRequest.model_validate_json(body))
    except pydantic.ValidationError as error:
        return result.Failure(describe_errors(error))
