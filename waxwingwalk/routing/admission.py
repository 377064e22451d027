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
    slots could finish it.
    """

    def refusal(
        self, request: base.AdmissionRequest
    ) -> datetime.timedelta | None:
        slots = max(request.slots, 1)
        queue_time = request.queued_work / slots
        job_time = max(request.longest, request.work / slots)
        if queue_time + job_time <= request.budget:
            return None
        excess = queue_time + job_time - request.budget
        return datetime.timedelta(seconds=max(excess, 0.1))
