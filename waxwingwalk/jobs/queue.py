"""The queue of one service: weighted fair sharing among teams.

Each team has a virtual time that grows by the estimated work of each task it
starts, divided by the team's weight. The team with the lowest virtual time is
served next. The job order selects a job of that team, and the dispatcher a
task of that job. Each operation except listing the waiting teams takes
amortised logarithmic time in the number of waiting teams or jobs.
"""

from collections.abc import Callable
import dataclasses
import heapq

from waxwingwalk.jobs import job as jobs
from waxwingwalk.routing import base


@dataclasses.dataclass(slots=True)
class _TeamQueue:
    name: str
    job_heap: list[tuple[float, int, jobs.Job]] = dataclasses.field(
        default_factory=list
    )
    virtual_time: float = 0.0
    is_in_heap: bool = False

    def first(self) -> jobs.Job | None:
        while self.job_heap:
            job = self.job_heap[0][2]
            if job.pending:
                return job
            heapq.heappop(self.job_heap)
        return None


class ServiceQueue:
    """Waiting tasks of one service.

    ``weight`` returns a team's weight, ``may_start`` whether a team is below
    its quota. A team at its quota is blocked until :meth:`unblock_team` is
    called for it.
    """

    def __init__(
        self,
        order: base.JobOrder,
        weight: Callable[[str], float],
        may_start: Callable[[str], bool],
    ) -> None:
        self._order = order
        self._weight = weight
        self._may_start = may_start
        self._teams: dict[str, _TeamQueue] = {}
        self._team_heap: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
        self._serial = 0
        self._blocked: set[str] = set()
        self.task_count = 0
        self.work = 0.0

    @property
    def is_blocked(self) -> bool:
        """Whether tasks wait, but all their teams are at their quota."""
        return self.task_count > 0 and not self._team_heap

    def add(self, job: jobs.Job) -> None:
        """Queue all unsent tasks of a job."""
        self.task_count += len(job.pending)
        self.work += job.remaining_work
        self._insert(job)

    def requeue(self, job: jobs.Job, index: int) -> None:
        """Queue a task again that has been proven not to have started."""
        job.requeue(index)
        self.task_count += 1
        self.work += job.estimates[index]
        if len(job.pending) == 1:
            self._insert(job)

    def remove(self, job: jobs.Job) -> None:
        """Remove all unsent tasks of a job."""
        self.task_count -= len(job.pending)
        self.work = max(0.0, self.work - job.remaining_work)
        job.pending.clear()
        job.remaining_work = 0.0

    def first(self) -> jobs.Job | None:
        """Return the job whose tasks are sent next."""
        while self._team_heap:
            _, _, name = self._team_heap[0]
            team = self._teams[name]
            job = team.first()
            if job is None:
                heapq.heappop(self._team_heap)
                team.is_in_heap = False
                del self._teams[name]
                continue
            if not self._may_start(name):
                heapq.heappop(self._team_heap)
                team.is_in_heap = False
                self._blocked.add(name)
                continue
            return job
        return None

    def pop_task(self, job: jobs.Job, position: int) -> int:
        """Remove an unsent task of the first job and return its index."""
        index = job.pop_task(position)
        estimate = job.estimates[index]
        self.task_count -= 1
        self.work = max(0.0, self.work - estimate)
        team = self._teams[job.spec.team]
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += estimate / self._weight(team.name)
        entry = (team.virtual_time, self._next_serial(), team.name)
        heapq.heapreplace(self._team_heap, entry)
        return index

    def unblock_team(self, name: str) -> None:
        """Make a team that was at its quota eligible again."""
        if name in self._blocked:
            self._blocked.discard(name)
            team = self._teams.get(name)
            if team is not None:
                self._push_team(team)

    def waiting_teams(self) -> dict[str, float]:
        """Return the weights of the waiting teams that are not blocked."""
        return {name: self._weight(name) for _, _, name in self._team_heap}

    def _insert(self, job: jobs.Job) -> None:
        name = job.spec.team
        team = self._teams.get(name)
        if team is None:
            team = _TeamQueue(name, virtual_time=self._virtual_time)
            self._teams[name] = team
        self._refresh_first(team)
        job.order_key = self._order.key(job)
        entry = (job.order_key, self._next_serial(), job)
        heapq.heappush(team.job_heap, entry)
        if name not in self._blocked:
            self._push_team(team)

    def _refresh_first(self, team: _TeamQueue) -> None:
        """Update the first job's key before another job is added.

        Only the first job's tasks are sent, so only its key may have fallen.
        """
        job = team.first()
        if job is None:
            return
        key = self._order.key(job)
        if key < job.order_key:
            job.order_key = key
            heapq.heapreplace(team.job_heap, (key, self._next_serial(), job))

    def _push_team(self, team: _TeamQueue) -> None:
        if team.is_in_heap:
            return
        team.is_in_heap = True
        team.virtual_time = max(team.virtual_time, self._virtual_time)
        entry = (team.virtual_time, self._next_serial(), team.name)
        heapq.heappush(self._team_heap, entry)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial
