"""The settings file that the platform writes for a process."""

import datetime
import os
import pathlib
from typing import Annotated
from typing import Any

import msgspec
from returns import result
import yaml

from waxwingwalk.core import decoding
from waxwingwalk.dispatch import settings
from waxwingwalk.host import config

# The environment variable that contains the path of the settings file.
SETTINGS_VARIABLE = "WAXWINGWALK_BOOT"
# The environment variable with the settings of dispatch, a YAML mapping:
# "{look_ahead: true}". It can be set for a role of the deployment.
DISPATCH_VARIABLE = "WAXWINGWALK_DISPATCH"
# The port for metrics; deploy/system.toml must name the same one.
METRICS_PORT = 9464
# The platform sends new connections until two consecutive readiness checks
# have failed; it makes one check per second.
LINGER = datetime.timedelta(milliseconds=2100)

MEGABYTE = 2**20
# An hour; the platform waits some seconds.
GRACE_SECONDS_MAX = 3600


class _Listen(msgspec.Struct):
    front: str
    ready: str
    control: str
    # Added by this project, not by the platform: the address at which peers
    # reach ``control``, if it is another one.
    control_advertised: str | None = None


_Limit = Annotated[int, msgspec.Meta(ge=1, le=decoding.COUNT_MAX)]


class _Limits(msgspec.Struct):
    cpu_share: float = 1.0
    # Speed of the processor as a multiple of the speed of a standard core.
    cores: float = 1.0
    memory_mb: _Limit = config.MEMORY_DEFAULT // MEGABYTE
    max_fds: _Limit = config.DESCRIPTORS_DEFAULT


class _Bounds(msgspec.Struct):
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=GRACE_SECONDS_MAX)] = 6.0


class _Store(msgspec.Struct):
    address: str


class _Dispatch(msgspec.Struct, forbid_unknown_fields=True):
    look_ahead: bool = False
    job_admission: bool = False
    zone_balance: bool = False
    run_progress: bool = False
    fast_settlement: bool = False


class _Settings(msgspec.Struct, kw_only=True):
    node: str
    ip: str
    zone: str
    region: str = ""
    listen: _Listen
    # Peer addresses of some hosts; the list may be out of date.
    seeds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
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
                self._loaded = decode(
                    yaml.safe_load(path.read_text()),
                    os.environ.get(DISPATCH_VARIABLE, ""),
                )
                self._file_state = state
        except OSError as error:
            return result.Failure(f"{path}: {error.strerror}")
        except yaml.YAMLError as error:
            return result.Failure(f"{path}: {error}")
        return self._loaded


def decode(
    content: Any, dispatch: str = ""
) -> result.Result[config.HostConfig, str]:
    """Return the host's configuration, or a description of the error.

    ``dispatch`` holds the settings of dispatch as a YAML mapping.
    """
    dispatch_settings = decode_dispatch(dispatch)
    if not isinstance(dispatch_settings, result.Success):
        return result.Failure(dispatch_settings.failure())
    try:
        decoded = decoding.convert(_without_other_keys(content), _Settings)
    except decoding.MalformedError as error:
        return result.Failure(str(error))
    limits = decoded.limits
    return result.Success(
        config.HostConfig(
            name=decoded.node,
            zone=decoded.zone,
            region=decoded.region,
            callers=decoded.listen.front,
            readiness=decoded.listen.ready,
            peers=decoded.listen.control,
            metrics=f"{decoded.ip}:{METRICS_PORT}",
            store=decoded.platform.address,
            seeds=tuple(decoded.seeds),
            processors=round(limits.cpu_share * limits.cores, 3),
            grace=datetime.timedelta(seconds=decoded.bounds.grace_s),
            advertised=decoded.listen.control_advertised,
            linger=LINGER,
            dispatch=dispatch_settings.unwrap(),
            memory=limits.memory_mb * MEGABYTE,
            descriptors=limits.max_fds,
        )
    )


def _without_other_keys(value: Any) -> Any:
    """Return a document without fields whose names are not strings.

    YAML allows them. They are unknown fields, which are ignored.
    """
    if isinstance(value, dict):
        return {
            key: _without_other_keys(each)
            for key, each in value.items()
            if isinstance(key, str)
        }
    if isinstance(value, list):
        return [_without_other_keys(each) for each in value]
    return value


def decode_dispatch(
    content: str,
) -> result.Result[settings.DispatchSettings, str]:
    """Return the settings of dispatch, or a description of the error."""
    try:
        decoded = decoding.convert(
            yaml.safe_load(content) or {}, _Dispatch, strict=True
        )
    except (yaml.YAMLError, decoding.MalformedError) as error:
        return result.Failure(f"{DISPATCH_VARIABLE}: {error}")
    return result.Success(
        settings.DispatchSettings(**msgspec.structs.asdict(decoded))
    )
