"""Validation of the platform's host list."""

import dataclasses
from typing import Any
from typing import TypeVar

import pydantic
from returns import result

from waxwingwalk.core import model

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


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
    entry_hosts: list[Any] = []
    backend_servers: list[Any] = []


@dataclasses.dataclass(frozen=True, slots=True)
class Hosts:
    """The host list: backend servers and addresses of entry processes.

    ``malformed_ids`` names the backend servers whose rows are malformed, as
    far as they have an id; ``errors`` describes all malformed rows.
    """

    backends: list[model.BackendSpec]
    entry_addresses: list[str]
    malformed_ids: list[str]
    errors: list[str]


def parse(content: dict[str, Any]) -> result.Result[Hosts, str]:
    """Return the valid rows of a list, or a description of the error.

    A list of backend servers without any valid row is an error as a whole.
    """
    try:
        hosts = _Hosts.model_validate(content)
    except pydantic.ValidationError as error:
        return result.Failure(str(error))
    entries, errors = _validate_rows(_BackendEntry, hosts.backend_servers)
    if errors and not entries:
        return result.Failure("; ".join(errors))
    valid_ids = {entry.id for entry in entries}
    malformed_ids = [
        row["id"]
        for row in hosts.backend_servers
        if isinstance(row, dict)
        and isinstance(row.get("id"), str)
        and row["id"] not in valid_ids
    ]
    listed, entry_errors = _validate_rows(_EntryHost, hosts.entry_hosts)
    return result.Success(
        Hosts(
            [_to_spec(entry) for entry in entries],
            [host.address for host in listed],
            malformed_ids,
            errors + entry_errors,
        )
    )


def _validate_rows(
    kind: type[ModelT], rows: list[Any]
) -> tuple[list[ModelT], list[str]]:
    valid: list[ModelT] = []
    errors: list[str] = []
    for row in rows:
        try:
            valid.append(kind.model_validate(row))
        except pydantic.ValidationError as error:
            errors.append(str(error))
    return valid, errors


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
