"""When a host asks through the store whether a pool has a scheduler.

A host learns over links which hosts schedule pools. If it sees none for a pool
whose backend servers it reaches, either there is none or the links are broken.
It then writes its name into the pool's row as the inquirer. The scheduler, if
there is one, follows the row and answers by writing it without that name. If
the row stays as it is, the inquirer writes a row with itself as the owner, and
so claims the pool under a higher fence.

Both writes are conditional on the version of the row, so of several inquirers
one succeeds, and an answer makes its take-over fail. A scheduler that answers
too late, or that the store turns away, is fenced off by the backend servers.
"""

import dataclasses
import datetime
import enum

from waxwingwalk.core import clock
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows

# A host of the pool's zone inquires once no scheduler has been known for this
# time, which is longer than a regular take-over takes. It is also the time
# from an answer to the next inquiry.
INQUIRY_DELAY = datetime.timedelta(milliseconds=2500)
# A host of another zone leaves the pool to those of its zone at first.
FOREIGN_INQUIRY_DELAY = datetime.timedelta(milliseconds=4000)
# The time for the answer: a delivery of the row and a write, while the store
# is slow.
ANSWER_TIME = datetime.timedelta(milliseconds=2000)


class Step(enum.Enum):
    """What a host that knows no scheduler of a pool does next."""

    WAIT = "wait"
    INQUIRE = "inquire"
    TAKE_OVER = "take over"


@dataclasses.dataclass(slots=True)
class Inquiry:
    """The state of the inquiries of this host about one pool.

    ``row_changed_at`` is when this host learned of the present row, in
    observed time.

    ::

        inquiry.next_step(row, local_host, unscheduled_since, now, delay)
    """

    row_changed_at: datetime.datetime = clock.DISTANT_PAST

    def next_step(
        self,
        row: pool_rows.PoolRow,
        local_host: model.HostRecord,
        unscheduled_since: datetime.datetime,
        now: datetime.datetime,
        delay: datetime.timedelta,
    ) -> Step:
        """Return what to do about a pool without a known scheduler."""
        if row.inquirer == local_host:
            is_over = now - self.row_changed_at >= ANSWER_TIME
            return Step.TAKE_OVER if is_over else Step.WAIT
        # A change shows that another host acts: a scheduler or an inquirer.
        since = max(unscheduled_since, self.row_changed_at)
        return Step.INQUIRE if now - since >= delay else Step.WAIT
