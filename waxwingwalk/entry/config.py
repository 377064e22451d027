"""The settings file of one entry process: addresses, place and access.

Only what a process must know before it can ask anyone stands here. All else
is in the settings tree. Secrets are named by file and never stand in it::

    place: {region: wales, availability_zone: wales-1, host_class: small}
    callers: {address: 127.0.0.1, port: 7001}
    operators: {address: 127.0.0.1, port: 7002}
    peers: {address: 127.0.0.1, port: 7003}
    platform: {url: "http://127.0.0.1:7900"}
    seeds: ["127.0.0.1:7103"]
    access: {peers_secret_file: peers.secret}
"""

import pathlib
from typing import Any

import pydantic
from returns import result
import yaml


class _Strict(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class PlaceConfig(_Strict):
    """Where the process runs."""

    region: str
    availability_zone: str
    host_class: str = "default"


class ListenerConfig(_Strict):
    """An address and port to listen on; port 0 picks a free one."""

    address: str = "127.0.0.1"
    port: int = pydantic.Field(ge=0, le=65535)


class PlatformConfig(_Strict):
    """Where the platform's services are."""

    url: str


class AccessConfig(_Strict):
    """Files that hold secrets.

    ``callers_file`` maps team names to tokens, ``operators_file`` operator
    names to tokens, both in YAML. Without one, that listener asks for none.
    """

    peers_secret_file: pathlib.Path
    callers_file: pathlib.Path | None = None
    operators_file: pathlib.Path | None = None


class EntryConfig(_Strict):
    """The whole settings file."""

    place: PlaceConfig
    callers: ListenerConfig
    operators: ListenerConfig
    peers: ListenerConfig
    platform: PlatformConfig
    access: AccessConfig
    seeds: list[str] = []
    log_level: str = "info"


class Secrets(_Strict):
    """The contents of the files that AccessConfig names."""

    peers: str = pydantic.Field(min_length=8, repr=False)
    callers: dict[str, str] | None = pydantic.Field(default=None, repr=False)
    operators: dict[str, str] | None = pydantic.Field(default=None, repr=False)


def load(path: pathlib.Path) -> result.Result[EntryConfig, list[str]]:
    """Read and validate a settings file; return every fault at once."""
    return (
        _read_yaml(path)
        .bind(_validate)
        .map(lambda config: _resolve_files(config, path.parent))
    )


def _validate(content: Any) -> result.Result[EntryConfig, list[str]]:
    try:
        return result.Success(EntryConfig.model_validate(content))
    except pydantic.ValidationError as error:
        return result.Failure(_faults(error))


def _faults(error: pydantic.ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in fault['loc'])}: {fault['msg']}"
        for fault in error.errors()
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
        fault = f"access.peers_secret_file: {error.strerror}"
        return result.Failure([fault])
    tables: dict[str, Any] = {}
    for name, path in (
        ("callers", access.callers_file),
        ("operators", access.operators_file),
    ):
        if path is None:
            continue
        read = _read_yaml(path)
        if isinstance(read, result.Failure):
            return read
        tables[name] = read.unwrap()
    try:
        return result.Success(Secrets(peers=peers, **tables))
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
