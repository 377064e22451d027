"""Orders in which the jobs of one team are served."""

from waxwingwalk.jobs import job as jobs

# Seconds of remaining work per slot that count as much as one second of
# waiting, for a job in the shortest-remaining order.
AGEING = 1.0
# Slots that a job's remaining work is thought to be spread over.
TYPICAL_WIDTH = 16.0


class FifoOrder:
    """First come, first served."""

    def key(self, job: jobs.Job) -> float:
        return job.spec.submitted_at.timestamp()


class DeadlineOrder:
    """Earliest deadline first."""

    def key(self, job: jobs.Job) -> float:
        return job.spec.deadline.timestamp()


class ShortestRemainingOrder:
    """Shortest remaining work first; waiting makes up for length."""

    def key(self, job: jobs.Job) -> float:
        arrival = job.spec.submitted_at.timestamp()
        return arrival + AGEING * job.remaining_work / TYPICAL_WIDTH
