"""Bearer tokens on the listeners."""

from collections.abc import Mapping
import hmac

from aiohttp import web


def bearer_token(request: web.Request) -> str:
    """Return the token that a request carries, or an empty string."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def is_token(request: web.Request, token: str) -> bool:
    """Tell whether a request carries this token."""
    return hmac.compare_digest(bearer_token(request).encode(), token.encode())


def holder_of(request: web.Request, tokens: Mapping[str, str]) -> str | None:
    """Return whose token a request carries, None if nobody's."""
    found = None
    for name, token in tokens.items():
        if is_token(request, token):
            found = name
    return found
