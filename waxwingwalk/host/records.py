"""The rows that dispatch hosts keep in the store, as JSON."""

import msgspec
from returns import result

from waxwingwalk.core import decoding
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import pool_rows

# Tables in the store. Each host has one row, keyed by its peer address; each
# pool has one row, keyed by its availability zone.
HOSTS_TABLE = "waxwingwalk_hosts"
POOLS_TABLE = "waxwingwalk_pools"

_host_decoder: decoding.Decoder[model.HostRecord] = decoding.Decoder(
    model.HostRecord
)
_pool_decoder: decoding.Decoder[pool_rows.PoolRow] = decoding.Decoder(
    pool_rows.PoolRow
)


def encode(record: model.HostRecord | pool_rows.PoolRow) -> bytes:
    """Return a row's value."""
    return msgspec.json.encode(record)


def decode_host(value: bytes) -> result.Result[model.HostRecord, str]:
    """Return the host that a row describes, or an error message."""
    try:
        return result.Success(_host_decoder.decode(value))
    except decoding.MalformedError as error:
        return result.Failure(str(error))


def decode_pool(value: bytes) -> result.Result[pool_rows.PoolRow, str]:
    """Return a pool's row, or an error message."""
    try:
        row = _pool_decoder.decode(value)
    except decoding.MalformedError as error:
        return result.Failure(str(error))
    if not row.order:
        return result.Failure("the pool's order of hosts is empty")
    return result.Success(row)
