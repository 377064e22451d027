"""Decodes and validates JSON from outside the process."""

import re
from typing import Annotated
from typing import Any
from typing import Generic
from typing import TypeVar

import msgspec

T = TypeVar("T")
# Bounds of numbers from outside. They fit into 64 bits, as encoders require,
# and into the types of the standard library for times, also in sums.
COUNT_MAX = 2**53
# Durations in milliseconds: eleven days.
MILLISECONDS_MAX = 10**9
# Times since 1970, or readings of a clock, in milliseconds: three centuries.
CLOCK_MS_MAX = 10**13
# Versions of the store, from which fences are computed.
VERSION_MAX = 2**44
# An amount of a resource; the sum of many servers' is within COUNT_MAX.
AMOUNT_MAX = 10**12
Amount = Annotated[int, msgspec.Meta(ge=0, le=AMOUNT_MAX)]
Count = Annotated[int, msgspec.Meta(ge=0, le=COUNT_MAX)]
Integer = Annotated[int, msgspec.Meta(ge=-COUNT_MAX, le=COUNT_MAX)]
Milliseconds = Annotated[
    float, msgspec.Meta(ge=-MILLISECONDS_MAX, le=MILLISECONDS_MAX)
]
# Milliseconds that are not negative, up to three centuries.
LongMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=CLOCK_MS_MAX)]
# Differences between times, which are as long at most.
LongDifference = Annotated[
    float, msgspec.Meta(ge=-CLOCK_MS_MAX, le=CLOCK_MS_MAX)
]
# Factors, such as how much slower a server is than expected.
FACTOR_MAX = 10**6
Factor = Annotated[float, msgspec.Meta(ge=0, le=FACTOR_MAX)]
ClockMs = Annotated[int, msgspec.Meta(ge=0, le=CLOCK_MS_MAX)]
Version = Annotated[int, msgspec.Meta(ge=0, le=VERSION_MAX)]
# ``msgspec`` ends a message with the place of the value: "- at `$.steps[0]`".
_PLACE = re.compile(r"(?P<reason>.*) - at `(?:key in )?\$(?P<path>.*)`", re.S)
_INDEX = re.compile(r"\[([^\]]*)\]")
# Unreadable text and values nested too deeply are errors of other libraries.
_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)


class MalformedError(ValueError):
    """Input is not as required; the message names the field.

    ::

        steps.0.count: Expected `int` >= 1
    """


class Decoder(Generic[T]):
    """Decodes JSON into a type.

    Unknown fields are ignored. Unless the decoder is strict, numbers and
    Boolean values may be written as strings.

    ::

        Decoder(Job).decode(b'{"spec": "s", "steps": [{"count": "2"}]}')
    """

    def __init__(self, kind: Any, *, strict: bool = False) -> None:
        self._decoder: msgspec.json.Decoder[T] = msgspec.json.Decoder(
            kind, strict=strict
        )

    def decode(self, content: bytes | str) -> T:
        """Return the decoded value; raise ``MalformedError``."""
        try:
            return self._decoder.decode(content)
        except _ERRORS as error:
            raise MalformedError(_describe(error)) from error


def convert(value: Any, kind: type[T], *, strict: bool = False) -> T:
    """Return a parsed document as a type; raise ``MalformedError``."""
    try:
        return msgspec.convert(value, kind, strict=strict)
    except _ERRORS as error:
        raise MalformedError(_describe(error)) from error


def _describe(error: Exception) -> str:
    """Return the message, with the place of the value before it."""
    found = _PLACE.fullmatch(str(error))
    if found is None:
        return str(error)
    path = _INDEX.sub(r".\1", found["path"]).lstrip(".")
    return f"{path}: {found['reason']}"
