"""Tasks that a scheduler offers to another one: capacity and messages."""

import dataclasses
import datetime

from waxwingwalk.dispatch import backend as backends
from waxwingwalk.dispatch import balance
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import run_tracker


@dataclasses.dataclass(slots=True)
class PeerPool:
    """The free capacity of a peer's pool for a service, as last advertised.

    ``free`` is reduced by each task that is offered to the peer. ``known_at``
    is when it was advertised, None if that is not known.
    """

    link: int
    pool: str
    service: str
    free: list[messages.FreeRoom]
    known_at: datetime.datetime | None = None

    def weight(self, now: datetime.datetime) -> float:
        """Return the free processors, less the older they were known."""
        age = model.ZERO if self.known_at is None else now - self.known_at
        view = balance.PoolView("", False, model.ZERO, age)
        return view.freshness * sum(each.room.processors for each in self.free)


def order_links(
    peers: dict[int, list[PeerPool]], job_id: str, now: datetime.datetime
) -> list[int]:
    """Return links in the order of offers, without those that know nothing.

    All tasks of a job go to the same peer first. Schedulers that offer tasks
    at the same time choose different ones, in proportion to the free capacity.
    """
    weights = {
        link: sum(pool.weight(now) for pool in pools)
        for link, pools in peers.items()
    }
    return sorted(
        (link for link, weight in weights.items() if weight > 0),
        key=lambda link: (
            balance.exponential(f"{job_id}.{link}") / weights[link]
        ),
    )


def reserve_capacity(
    pool: PeerPool, order: backends.TaskOrder, time_left: datetime.timedelta
) -> messages.FreeRoom | None:
    """Deduct a task from a peer's advertised capacity, if it fits.

    Return the free capacity before the deduction, or None. A task that would
    be on time on a server of ordinary speed is offered only if it is also on
    time on the peer's server. A task that requires a label is never offered,
    because peers do not advertise labels.
    """
    if pool.service != order.service or order.label is not None:
        return None
    is_late = order.estimate > time_left
    for number, free in enumerate(pool.free):
        is_in_time = order.estimate * free.slowness <= time_left
        if free.room.holds(order.resources) and (is_in_time or is_late):
            remaining = free.room - order.resources
            pool.free[number] = messages.FreeRoom(remaining, free.slowness)
            return free
    return None


def offer_message(
    order: backends.TaskOrder, time_left: datetime.timedelta
) -> messages.OfferTask:
    """Return the message that offers a task; ``time_left`` is until due."""
    return messages.OfferTask(
        job_id=order.ref.job_id,
        step=order.ref.step,
        index=order.ref.index,
        run=order.run,
        queue=order.queue,
        service=order.service,
        spec=order.spec,
        room=order.resources,
        estimate_ms=model.milliseconds(order.estimate),
        due_in_ms=model.milliseconds(time_left),
        label=order.label,
        max_per_backend=order.max_per_backend,
        must_run_alone=order.runs_alone,
    )


def order_from_offer(
    message: messages.OfferTask, link: int
) -> backends.TaskOrder:
    """Return the order for a task that was offered over a link."""
    return backends.TaskOrder(
        ref=model.TaskRef(message.job_id, message.step, message.index),
        run=message.run,
        queue=message.queue,
        service=message.service,
        spec=message.spec,
        resources=message.room,
        estimate=message.estimate_ms * model.MILLISECOND,
        label=message.label,
        max_per_backend=message.max_per_backend,
        requester_link=link,
        is_suspect=message.must_run_alone,
        runs_alone=message.must_run_alone,
    )


def ended_message(ended: run_tracker.EndedTask) -> messages.TaskEnded:
    """Return the message that reports the end of an offered task.

    NOT_RUN says that the task certainly has not run and will not, which is
    not certain of an order that got no answer.
    """
    ref, end = ended.order.ref, ended.end
    if ended.reason == run_tracker.NEVER_STARTED:
        end = model.TaskEnd.GONE
    return messages.TaskEnded(
        ref.job_id, ref.step, ref.index, ended.order.run, end
    )
