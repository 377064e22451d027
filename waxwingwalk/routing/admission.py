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
    """Refuses a job that could not meet its deadline even with all slots.

    The bound is deliberately optimistic: a job is refused only if no division
    of the slots could finish it in time. The length of a single task is not
    checked, because declared run times are often wrong.
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
