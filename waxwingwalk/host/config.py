"""The settings that a dispatch host needs to start."""

import dataclasses
import datetime

from waxwingwalk.dispatch import settings as dispatch_settings

# What a process may use if the settings file does not tell.
MEMORY_DEFAULT = 300 * 2**20
DESCRIPTORS_DEFAULT = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class HostConfig:
    """The addresses, location and limits of a dispatch host.

    Addresses are ``host:port``. ``processors`` is the host's share of the
    processor, in standard cores. ``grace`` is the time between SIGTERM and
    SIGKILL. ``linger`` is the time after SIGTERM during which new connections
    may still arrive and are served. ``advertised`` is the address at which
    peers reach this host if it is not ``peers``, for example behind a port
    mapping. ``dispatch`` enables decisions under heavy load. ``memory`` is how
    much the process may hold, in bytes, and ``descriptors`` how many it may
    open.
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
    advertised: str | None = None
    linger: datetime.timedelta = datetime.timedelta()
    dispatch: dispatch_settings.DispatchSettings = (
        dispatch_settings.DispatchSettings()
    )
    memory: int = MEMORY_DEFAULT
    descriptors: int = DESCRIPTORS_DEFAULT

    @property
    def peer_address(self) -> str:
        """The address at which peers reach this host."""
        return self.advertised or self.peers
