"""The settings file that the platform writes for a process."""

import datetime
import os
import pathlib
from typing import Annotated
from typing import Any

import pydantic
from returns import result
import yaml

from waxwingwalk.host import config

# The environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "WAXWINGWALK_BOOT"
# The port for metrics; deploy/system.toml must name the same one.
METRICS_PORT = 9464
# The platform sends new connections until two consecutive readiness checks
# have failed; it makes one check per second.
LINGER = datetime.timedelta(milliseconds=2100)

# An hour; the platform waits some seconds.
GRACE_SECONDS_MAX = 3600


class _Listen(pydantic.BaseModel):
    front: str
    ready: str
    control: str
    # Added by this project, not by the platform: the address at which peers
    # reach ``control``, if it is another one.
    control_advertised: str | None = None


class _Limits(pydantic.BaseModel):
    cpu_share: float = 1.0
    # Speed of the processor as a multiple of the speed of a standard core.
    cores: float = 1.0


class _Bounds(pydantic.BaseModel):
    grace_s: Annotated[float, pydantic.Field(ge=0, le=GRACE_SECONDS_MAX)] = 6.0


class _Store(pydantic.BaseModel):
    address: str


class _Settings(pydantic.BaseModel):
    node: str
    ip: str
    zone: str
    region: str = ""
    listen: _Listen
    # Peer addresses of some hosts; the list may be out of date.
    seeds: list[str] = []
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    platform: _Store


class SettingsFile:
    """The settings file, parsed again only when it has changed."""

    def __init__(self) -> None:
        self._file_state: tuple[int, int] | None = None
        self._loaded: result.Result[config.HostConfig, str] | None = None

    def load(self) -> result.Result[config.HostConfig, str]:
        """Return the host's configuration, or a description of the error."""
        name = os.environ.get(SETTINGS_VARIABLE)
        if not name:
            error = f"{SETTINGS_VARIABLE} is not set to a settings file"
            return result.Failure(error)
        path = pathlib.Path(name)
        try:
            found = path.stat()
            state = (found.st_mtime_ns, found.st_size)
            if self._loaded is None or state != self._file_state:
                self._loaded = decode(yaml.safe_load(path.read_text()))
                self._file_state = state
        except OSError as error:
            return result.Failure(f"{path}: {error.strerror}")
        except yaml.YAMLError as error:
            return result.Failure(f"{path}: {error}")
        return self._loaded


def decode(content: Any) -> result.Result[config.HostConfig, str]:
    """Return the host's configuration, or a description of the error."""
    try:
        settings = _Settings.model_validate(content)
    except pydantic.ValidationError as error:
        return result.Failure(str(error))
    limits = settings.limits
    return result.Success(
        config.HostConfig(
            name=settings.node,
            zone=settings.zone,
            region=settings.region,
            callers=settings.listen.front,
            readiness=settings.listen.ready,
            peers=settings.listen.control,
            metrics=f"{settings.ip}:{METRICS_PORT}",
            store=settings.platform.address,
            seeds=tuple(settings.seeds),
            processors=round(limits.cpu_share * limits.cores, 3),
            grace=datetime.timedelta(seconds=settings.bounds.grace_s),
            advertised=settings.listen.control_advertised,
            linger=LINGER,
        )
    )
