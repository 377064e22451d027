"""The queue of one service: weighted fair sharing among teams.

Each team has a virtual time that grows with the work it starts, divided by
its weight; the team furthest behind goes next. Within a team the job order
decides; within a job the dispatcher chooses. Every step costs at most
the logarithm of the number of waiting teams or jobs.
"""

from collections.abc import Callable
import dataclasses
import heapq

from waxwingwalk.jobs import job as jobs
from waxwingwalk.routing import base


@dataclasses.dataclass(slots=True)
class _TeamQueue:
    name: str
    heap: list[tuple[float, int, jobs.Job]] = dataclasses.field(
        default_factory=list
    )
    virtual_time: float = 0.0
    is_listed: bool = False

    def first(self) -> jobs.Job | None:
        while self.heap:
            job = self.heap[0][2]
            if job.pending:
                return job
            heapq.heappop(self.heap)
        return None


class ServiceQueue:
    """Waiting tasks of one service.

    ``weight`` gives a team's weight; ``may_start`` tells whether a team is
    below its quota. A team found at its quota is passed over until
    :meth:`retry_team` is called for it.
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
        self._heap: list[tuple[float, int, str]] = []
        self._virtual_time = 0.0
        self._serial = 0
        self._blocked: set[str] = set()
        self.task_count = 0
        self.work = 0.0

    @property
    def is_blocked(self) -> bool:
        """Whether tasks wait, but only of teams at their quota."""
        return self.task_count > 0 and not self._heap

    def add(self, job: jobs.Job) -> None:
        """Queue all unsent tasks of a job."""
        self.task_count += len(job.pending)
        self.work += job.remaining_work
        self._insert(job)

    def put_back(self, job: jobs.Job, index: int) -> None:
        """Queue a task again that provably did not start."""
        job.put_back(index)
        self.task_count += 1
        self.work += job.estimates[index]
        if len(job.pending) == 1:
            self._insert(job)

    def remove(self, job: jobs.Job) -> None:
        """Drop all unsent tasks of a job."""
        self.task_count -= len(job.pending)
        self.work = max(0.0, self.work - job.remaining_work)
        job.pending.clear()
        job.remaining_work = 0.0

    def first(self) -> jobs.Job | None:
        """Return the job whose tasks go next."""
        while self._heap:
            _, _, name = self._heap[0]
            team = self._teams[name]
            job = team.first()
            if job is None:
                heapq.heappop(self._heap)
                team.is_listed = False
                del self._teams[name]
                continue
            if not self._may_start(name):
                heapq.heappop(self._heap)
                team.is_listed = False
                self._blocked.add(name)
                continue
            return job
        return None

    def take(self, job: jobs.Job, position: int) -> int:
        """Remove an unsent task of the first job; return its index."""
        index = job.take(position)
        estimate = job.estimates[index]
        self.task_count -= 1
        self.work = max(0.0, self.work - estimate)
        team = self._teams[job.spec.team]
        self._virtual_time = max(self._virtual_time, team.virtual_time)
        team.virtual_time += estimate / self._weight(team.name)
        entry = (team.virtual_time, self._next_serial(), team.name)
        heapq.heapreplace(self._heap, entry)
        return index

    def retry_team(self, name: str) -> None:
        """Consider a team again that was at its quota."""
        if name in self._blocked:
            self._blocked.discard(name)
            team = self._teams.get(name)
            if team is not None:
                self._list(team)

    def waiting_teams(self) -> dict[str, float]:
        """Return the teams that wait and may start, with their weights."""
        return {name: self._weight(name) for _, _, name in self._heap}

    def _insert(self, job: jobs.Job) -> None:
        name = job.spec.team
        team = self._teams.get(name)
        if team is None:
            team = _TeamQueue(name, virtual_time=self._virtual_time)
            self._teams[name] = team
        self._refresh_first(team)
        job.order_key = self._order.key(job)
        entry = (job.order_key, self._next_serial(), job)
        heapq.heappush(team.heap, entry)
        if name not in self._blocked:
            self._list(team)

    def _refresh_first(self, team: _TeamQueue) -> None:
        """Bring the first job's key up to date before another is added."""
        job = team.first()
        if job is None:
            return
        key = self._order.key(job)
        if key < job.order_key:
            job.order_key = key
            heapq.heapreplace(team.heap, (key, self._next_serial(), job))

    def _list(self, team: _TeamQueue) -> None:
        if team.is_listed:
            return
        team.is_listed = True
        team.virtual_time = max(team.virtual_time, self._virtual_time)
        entry = (team.virtual_time, self._next_serial(), team.name)
        heapq.heappush(self._heap, entry)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial
