"""Orders in which the jobs of one team are served."""

from waxwingwalk.jobs import job as jobs

# Seconds of waiting that offset one second of remaining work per slot in the
# shortest-remaining order.
REMAINING_WORK_WEIGHT = 1.0
# The number of slots that a job's remaining work is assumed to run on.
TYPICAL_PARALLELISM = 16.0


class FifoOrder:
    """First come, first served."""

    def key(self, job: jobs.Job) -> float:
        return job.spec.submitted_at.timestamp()


class DeadlineOrder:
    """Earliest deadline first."""

    def key(self, job: jobs.Job) -> float:
        return job.spec.deadline.timestamp()


class ShortestRemainingOrder:
    """Shortest remaining work first, with ageing of waiting jobs."""

    def key(self, job: jobs.Job) -> float:
        arrival = job.spec.submitted_at.timestamp()
        return (
            arrival
            + REMAINING_WORK_WEIGHT * job.remaining_work / TYPICAL_PARALLELISM
        )
