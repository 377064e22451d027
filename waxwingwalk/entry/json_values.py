"""JSON values that pass through an entry process unchanged."""

from typing import Annotated
from typing import Any

import orjson
import pydantic


def _check_encodable(value: Any) -> Any:
    try:
        orjson.dumps(value)
    except orjson.JSONEncodeError as error:
        raise ValueError(f"cannot be encoded as JSON: {error}") from error
    return value


# Any value that can be sent on; integers of more than 64 bits cannot.
JsonValue = Annotated[Any, pydantic.AfterValidator(_check_encodable)]
