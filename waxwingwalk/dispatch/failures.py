"""Confines an unexpected error to the step in which it was raised."""

from collections.abc import Callable
from typing import ParamSpec

from waxwingwalk.dispatch import effects

P = ParamSpec("P")


def confine(
    where: object,
    step: Callable[P, effects.Effects],
    /,
    *args: P.args,
    **kwargs: P.kwargs,
) -> effects.Effects:
    """Return the effects of a step, or the report of its failure.

    ``where`` is named in the report. What the step has changed before it
    failed stays changed.

    ::

        done += failures.confine("scheduler", self.scheduler.tick, now)
    """
    try:
        return step(*args, **kwargs)
    except Exception as error:
        return [effects.ReportFailure(str(where), error)]
