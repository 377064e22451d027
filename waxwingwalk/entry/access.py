"""Bearer-token authentication of HTTP requests."""

from collections.abc import Mapping
import hmac

from aiohttp import web


def bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def has_token(request: web.Request, token: str) -> bool:
    """Return whether a request carries this token."""
    # Bytes of a header that are not valid UTF-8 are read as surrogates.
    received = bearer_token(request).encode(errors="surrogateescape")
    return hmac.compare_digest(received, token.encode())


def find_token_holder(
    request: web.Request, tokens: Mapping[str, str]
) -> str | None:
    """Return the name whose token a request carries, or None."""
    found = None
    for name, token in tokens.items():
        if has_token(request, token):
            found = name
    return found
