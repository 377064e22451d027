"""Settings of dispatch: which decisions under heavy load are enabled.

Each of them acts only where the load calls for it, and is off by default, so
that a deployment that does not ask for it is served as before.
"""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Which parts of dispatch are enabled.

    ``look_ahead``: placement considers waiting tasks and runs that end soon.
    ``job_admission``: jobs are admitted by value while demand exceeds the
    capacity. ``zone_balance``: whole jobs are routed by the advertised load of
    all zones. ``run_progress``: the progress that servers report decides
    whether a run is stuck. ``fast_settlement``: unanswered starts are settled
    as soon as the server answers anything.
    """

    look_ahead: bool = False
    job_admission: bool = False
    zone_balance: bool = False
    run_progress: bool = False
    fast_settlement: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class WorkLimits:
    """How much work a host takes on at a time.

    ``tasks`` is how many tasks the jobs that it schedules may have together;
    a job that is too large for that is taken if there is no other one.
    ``starts`` is how many starts of tasks may be unanswered; further ones
    wait. Both follow from the memory of the process.
    """

    tasks: int = 16384
    starts: int = 512
