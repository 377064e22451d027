"""Questions of operators where a job would be placed."""

import datetime

import pydantic

from waxwingwalk.dispatch import model

# A job has at most this many tasks in a question. The largest jobs that users
# expect have 570 tasks.
MAX_TASKS = 1000
# The number of allowed values that an error names.
MAX_NAMED_VALUES = 20


class PlacementQuestion(pydantic.BaseModel):
    """The job that is asked about.

    Either ``queue`` or ``service`` is given. For a service, it is a job of
    the first queue of that service in the catalog.
    """

    model_config = pydantic.ConfigDict(extra="forbid", strict=False)

    queue: str | None = pydantic.Field(None, min_length=1, max_length=256)
    service: str | None = pydantic.Field(None, min_length=1, max_length=256)
    tasks: int = pydantic.Field(1, ge=1, le=MAX_TASKS)
    cores: float = pydantic.Field(1.0, gt=0, le=4096)
    memory_mib: int = pydantic.Field(0, ge=0, le=2**30)
    run_time_ms: float = pydantic.Field(gt=0, le=3_600_000)
    priority: int | None = pydantic.Field(None, ge=0, le=1000)
    label: str | None = pydantic.Field(None, min_length=1, max_length=256)


class QuestionError(Exception):
    """A question that cannot be answered; the message names what can be."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field


def to_job(
    question: PlacementQuestion,
    catalog: model.Catalog | None,
    job_id: str,
    now: datetime.datetime,
) -> model.Job:
    """Return the job that is asked about.

    Raises QuestionError if the catalog has no queue for it.
    """
    queue = _find_queue(question, catalog)
    estimate = datetime.timedelta(milliseconds=question.run_time_ms)
    processors = max(1, round(question.cores * 1000))
    return model.Job(
        job_id=job_id,
        queue=queue.name,
        service=queue.service,
        priority=(
            queue.priority if question.priority is None else question.priority
        ),
        attempts=queue.attempts,
        spec="",
        stretch=queue.stretch,
        steps=(
            model.Step(
                question.tasks,
                model.Resources(processors, question.memory_mib),
                estimate,
                label=question.label,
            ),
        ),
        due=now + queue.stretch * estimate + queue.objective,
        expires=now + queue.timeout,
    )


def _find_queue(
    question: PlacementQuestion, catalog: model.Catalog | None
) -> model.Queue:
    if (question.queue is None) == (question.service is None):
        raise QuestionError("queue", "give either a queue or a service")
    queues = () if catalog is None else catalog.queues
    if not queues:
        raise QuestionError("queue", "the host has no configuration yet")
    for queue in queues:
        if question.queue is not None and queue.name == question.queue:
            return queue
        if question.service is not None and queue.service == question.service:
            return queue
    if question.queue is not None:
        raise QuestionError(
            "queue",
            f"unknown queue {question.queue!r}; the host has "
            + _named({each.name for each in queues}),
        )
    raise QuestionError(
        "service",
        f"no queue of the service {question.service!r}; there are queues of "
        + _named({each.service for each in queues}),
    )


def _named(values: set[str]) -> str:
    """Return some of the allowed values, and the number of the others."""
    names = sorted(values)
    text = ", ".join(names[:MAX_NAMED_VALUES])
    if len(names) > MAX_NAMED_VALUES:
        text += f" and {len(names) - MAX_NAMED_VALUES} more"
    return text
