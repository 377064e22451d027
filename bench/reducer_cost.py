"""``python -m bench.reducer_cost``: processor time of the reducer alone.

The time per task covers its share of the submission of the job, its placement
and its reply. The queue is kept at a fixed length during a measurement, to
show how the cost depends on that length.
"""

import datetime
import random
import time

from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import model
from waxwingwalk.settings import adopted
import waxwingwalk.wiring as wiring

QUEUE_LENGTHS = (100, 1_000, 10_000)
BACKEND_COUNTS = (24, 200, 800)
MEASURED_TASKS = 5_000
# The minimum of this number of runs is printed: other load on the machine can
# only increase a measurement.
REPEATS = 5
TASKS_PER_JOB = 20
RUN_TIME = datetime.timedelta(seconds=0.25)
JOB_DEADLINE = datetime.timedelta(hours=1)


def create_reducer(backend_count: int) -> wiring.core_reducer.Reducer:
    """Return a reducer with backend servers and open admission."""
    time_source = clock.ManualClock()
    process = identity.ProcessId("127.0.0.1:1", "00000000000000ab")
    place = adopted.Place("region", "zone-1", "default")
    reducer = wiring.build_reducer(
        process, place, time_source, random.Random(1)
    )
    tree = {"defaults": {"admission": "open", "queue_max_tasks": 100_000}}
    document = adopted.Revision(number=1, tree=tree).document()
    now = time_source.now()
    reducer.apply(events.SettingsRead(document), now)
    specs = [
        model.BackendSpec(
            backend_id=f"backend-{index}",
            address=f"127.0.0.1:{index}",
            zone=f"zone-{index % 4}",
            rack="rack",
            incarnation="1",
            services=frozenset({"refunds"}),
        )
        for index in range(backend_count)
    ]
    reducer.apply(events.BackendsListed(specs), now)
    return reducer


class Driver:
    """Drives a reducer while keeping its queue at a fixed length."""

    def __init__(self, backend_count: int, queue_length: int) -> None:
        self._reducer = create_reducer(backend_count)
        self._queue_length = queue_length
        self._now = clock.ManualClock().now()
        self._sent: list[effects.SendTask] = []
        self._team_number = 0

    def _apply(self, event: events.Event) -> None:
        for effect in self._reducer.apply(event, self._now):
            if isinstance(effect, effects.SendTask):
                self._sent.append(effect)

    def _submit(self) -> None:
        state = self._reducer.state
        self._team_number = (self._team_number + 1) % 8
        tasks = [model.TaskSpec(None, RUN_TIME) for _ in range(TASKS_PER_JOB)]
        spec = model.JobSpec(
            state.next_job_id(),
            "refunds",
            f"team-{self._team_number}",
            tasks,
            self._now,
            self._now + JOB_DEADLINE,
        )
        self._apply(events.JobSubmitted(spec))

    def _fill_queue(self) -> None:
        queue = self._reducer.state.queue("refunds")
        while queue.task_count < self._queue_length:
            self._submit()

    def measure(self) -> float:
        """Return the processor time per task in microseconds."""
        self._fill_queue()
        started_at = time.process_time()
        done = 0
        while done < MEASURED_TASKS:
            batch, self._sent = self._sent, []
            self._now += datetime.timedelta(milliseconds=5)
            for sent in batch:
                self._apply(self._reply(sent))
            done += len(batch)
            self._fill_queue()
            self._apply(events.Ticked())
        return (time.process_time() - started_at) / done * 1e6

    def _reply(self, sent: effects.SendTask) -> events.TaskReplied:
        return events.TaskReplied(
            job_id=sent.job_id,
            index=sent.index,
            attempt=sent.attempt,
            backend_id=sent.backend_id,
            outcome=model.TaskOutcome.DONE,
            running=0,
            reply_task=f"{sent.job_id}/{sent.index}",
            reply_incarnation=self._reducer.state.process.incarnation,
        )


def main() -> None:
    """Print the cost for each fleet size and queue length."""
    print("backend servers  queued tasks  microseconds a task")
    for backend_count in BACKEND_COUNTS:
        for queue_length in QUEUE_LENGTHS:
            cost = min(
                Driver(backend_count, queue_length).measure()
                for _ in range(REPEATS)
            )
            print(f"{backend_count:15}  {queue_length:12}  {cost:19.1f}")


if __name__ == "__main__":
    main()
