"""How long backend servers take to answer an order, learned from answers.

An order that is not answered holds capacity until it is settled. How long to
wait for the answer depends on the servers and on this host, so the bound
follows the answers that did come. A bound that is too short costs a stop and
the work of a run that was just started, one that is too long holds capacity.
"""

import collections
import datetime

# The bound is this quantile of the recent answers, times the margin.
QUANTILE = 0.99
MARGIN = 2.0
# Answers that the quantile is taken of, and how often it is taken.
WINDOW = 256
INTERVAL = 32
# Ticks are 25 ms apart, and a timer may fire 10 ms late without notice.
MIN_BOUND = datetime.timedelta(milliseconds=30)
# A call is given up after 350 ms.
MAX_BOUND = datetime.timedelta(milliseconds=200)
# The bound until INTERVAL answers have come.
FIRST_BOUND = datetime.timedelta(milliseconds=150)


class AnswerTimes:
    """The bound after which an order counts as unanswered.

    ::

        times = AnswerTimes()
        times.learn(elapsed)
        if waited > times.bound: ...
    """

    def __init__(self) -> None:
        self._recent: collections.deque[datetime.timedelta] = (
            collections.deque(maxlen=WINDOW)
        )
        self._learned = 0
        self._bound = FIRST_BOUND

    @property
    def bound(self) -> datetime.timedelta:
        """The longest time that an answer is expected to take."""
        return self._bound

    def learn(self, elapsed: datetime.timedelta) -> None:
        """Learn from an answer, or from a start found without one."""
        self._recent.append(elapsed)
        self._learned += 1
        if self._learned % INTERVAL == 0:
            self._update()

    def _update(self) -> None:
        ordered = sorted(self._recent)
        rank = min(int(QUANTILE * len(ordered)), len(ordered) - 1)
        bound = ordered[rank] * MARGIN
        self._bound = min(max(bound, MIN_BOUND), MAX_BOUND)
