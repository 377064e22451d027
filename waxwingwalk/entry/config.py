"""The settings file of an entry process: addresses, location and access.

The file holds only what a process needs before it can contact the platform or
a peer; everything else is in the settings tree. It refers to secrets by file
name and never contains them::

    place: {region: wales, availability_zone: wales-1, host_class: small}
    callers: {address: 127.0.0.1, port: 7001}
    operators: {address: 127.0.0.1, port: 7002}
    peers: {address: 127.0.0.1, port: 7003}
    platform: {url: "http://127.0.0.1:7900"}
    seeds: ["127.0.0.1:7103"]
    access: {peers_secret_file: peers.secret}
    limits: {memory_mb: 300, descriptors: 4096}
"""

import pathlib
from typing import Any

import pydantic
from returns import result
import yaml


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlaceConfig(_StrictModel):
    """Region, availability zone and host class of the process."""

    region: str
    availability_zone: str
    host_class: str = "default"


class ListenerConfig(_StrictModel):
    """An address and port to listen on; port 0 selects a free port."""

    address: str = "127.0.0.1"
    port: int = pydantic.Field(ge=0, le=65535)


class PlatformConfig(_StrictModel):
    """Base URL of the platform's services."""

    url: str


class AccessConfig(_StrictModel):
    """Paths of the files that hold secrets.

    ``callers_file`` is a YAML mapping of team names to tokens,
    ``operators_file`` one of operator names to tokens. If a file is not
    configured, its listener requires no token.
    """

    peers_secret_file: pathlib.Path
    callers_file: pathlib.Path | None = None
    operators_file: pathlib.Path | None = None


class LimitsConfig(_StrictModel):
    """What the process may use: memory in MB, and open descriptors."""

    memory_mb: int = pydantic.Field(default=300, ge=1)
    descriptors: int = pydantic.Field(default=4096, ge=1)


class EntryConfig(_StrictModel):
    """Contents of the settings file."""

    place: PlaceConfig
    callers: ListenerConfig
    operators: ListenerConfig
    peers: ListenerConfig
    platform: PlatformConfig
    access: AccessConfig
    seeds: list[str] = []
    limits: LimitsConfig = LimitsConfig()
    log_level: str = "info"


class Secrets(_StrictModel):
    """Contents of the files that AccessConfig names."""

    peers: str = pydantic.Field(min_length=8, repr=False)
    callers: dict[str, str] | None = pydantic.Field(default=None, repr=False)
    operators: dict[str, str] | None = pydantic.Field(default=None, repr=False)


def load(path: pathlib.Path) -> result.Result[EntryConfig, list[str]]:
    """Read and validate a settings file; return all errors at once."""
    return (
        _read_yaml(path)
        .bind(_validate)
        .map(lambda config: _resolve_files(config, path.parent))
    )


def _validate(content: Any) -> result.Result[EntryConfig, list[str]]:
    try:
        return result.Success(EntryConfig.model_validate(content))
    except pydantic.ValidationError as error:
        return result.Failure(_format_errors(error))


def _format_errors(error: pydantic.ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in each['loc'])}: {each['msg']}"
        for each in error.errors()
    ]


def _resolve_files(config: EntryConfig, folder: pathlib.Path) -> EntryConfig:
    access = config.access
    files = {
        name: folder / value
        for name, value in access.model_dump().items()
        if value is not None
    }
    return config.model_copy(update={"access": AccessConfig(**files)})


def load_secrets(
    access: AccessConfig,
) -> result.Result[Secrets, list[str]]:
    """Read the secrets that a settings file refers to."""
    try:
        peers = access.peers_secret_file.read_text().strip()
    except OSError as error:
        message = f"access.peers_secret_file: {error.strerror}"
        return result.Failure([message])
    tokens: dict[str, Any] = {}
    for name, path in (
        ("callers", access.callers_file),
        ("operators", access.operators_file),
    ):
        if path is None:
            continue
        read = _read_yaml(path)
        if isinstance(read, result.Failure):
            return read
        tokens[name] = read.unwrap()
    try:
        return result.Success(Secrets(peers=peers, **tokens))
    except pydantic.ValidationError as error:
        names = [".".join(map(str, each["loc"])) for each in error.errors()]
        return result.Failure(
            [f"access: {name} is malformed" for name in names]
        )


def _read_yaml(path: pathlib.Path) -> result.Result[Any, list[str]]:
    try:
        return result.Success(yaml.safe_load(path.read_text()))
    except OSError as error:
        return result.Failure([f"{path}: {error.strerror}"])
    except yaml.YAMLError as error:
        return result.Failure([f"{path}: {error}"])
