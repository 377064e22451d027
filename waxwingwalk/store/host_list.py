"""Validation of the platform's host list."""

import dataclasses
from typing import Any

import pydantic
from returns import result

from waxwingwalk.core import model


class _BackendEntry(pydantic.BaseModel):
    id: str
    address: str
    zone: str
    rack: str = ""
    incarnation: str = ""
    services: list[str]
    slots: int = pydantic.Field(ge=1, le=4096)
    connections: int = pydantic.Field(64, ge=1)
    processors: float = pydantic.Field(16.0, gt=0)
    memory: int = pydantic.Field(64 * 2**30, gt=0)
    accelerators: int = pydantic.Field(0, ge=0)
    state: model.BackendState = model.BackendState.LIVE


class _EntryHost(pydantic.BaseModel):
    address: str


class _Hosts(pydantic.BaseModel):
    entry_hosts: list[_EntryHost] = []
    backend_servers: list[_BackendEntry] = []


@dataclasses.dataclass(frozen=True, slots=True)
class Hosts:
    """The host list: backend servers and addresses of entry processes."""

    backends: list[model.BackendSpec]
    entry_addresses: list[str]


def parse(content: dict[str, Any]) -> result.Result[Hosts, str]:
    """Return the validated list, or a description of the error."""
    try:
        hosts = _Hosts.model_validate(content)
    except pydantic.ValidationError as error:
        return result.Failure(str(error))
    backends = [_to_spec(entry) for entry in hosts.backend_servers]
    addresses = [host.address for host in hosts.entry_hosts]
    return result.Success(Hosts(backends, addresses))


def _to_spec(entry: _BackendEntry) -> model.BackendSpec:
    return model.BackendSpec(
        backend_id=entry.id,
        address=entry.address,
        zone=entry.zone,
        rack=entry.rack,
        incarnation=entry.incarnation,
        services=frozenset(entry.services),
        slots=entry.slots,
        connections=entry.connections,
        processors=entry.processors,
        memory=entry.memory,
        accelerators=entry.accelerators,
        state=entry.state,
    )
