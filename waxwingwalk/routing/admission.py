"""Admission policies."""

import datetime

from waxwingwalk.routing import base


class OpenAdmission:
    """Admits every job."""

    def refusal(
        self, request: base.AdmissionRequest
    ) -> datetime.timedelta | None:
        return None


class DeadlineAdmission:
    """Refuses a job that could not end in time with every slot there is.

    The bound is optimistic on purpose: a job is refused only if no sharing of
    slots could finish it. A single long task is no reason, since declared
    run times are often far off.
    """

    def refusal(
        self, request: base.AdmissionRequest
    ) -> datetime.timedelta | None:
        slots = max(request.slots, 1)
        needed = (request.queued_work + request.work) / slots
        if needed <= request.budget:
            return None
        excess = needed - request.budget
        return datetime.timedelta(seconds=max(excess, 0.1))
