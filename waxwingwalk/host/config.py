"""What one dispatch host must know before it can ask anyone."""

import dataclasses
import datetime


@dataclasses.dataclass(frozen=True, slots=True)
class HostConfig:
    """A dispatch host's addresses and place.

    Addresses are ``host:port``. ``processors`` is its share of a core.
    ``grace`` is the time between SIGTERM and SIGKILL.
    """

    name: str
    zone: str
    region: str
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    seeds: tuple[str, ...]
    processors: float
    grace: datetime.timedelta
    log_level: str = "info"
