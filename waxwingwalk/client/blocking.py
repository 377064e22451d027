"""Client library for programs without an event loop."""

import asyncio
from collections.abc import Sequence
from types import TracebackType

from waxwingwalk.client import asynchronous
from waxwingwalk.client import model


class BlockingClient:
    """A :class:`~waxwingwalk.client.Client` whose calls block.

    ::

        with BlockingClient(["10.0.0.4:7001"], team="shops") as dispatcher:
            answer = dispatcher.submit(job)
    """

    def __init__(
        self,
        addresses: Sequence[str],
        *,
        team: str,
        token: str | None = None,
    ) -> None:
        self._runner = asyncio.Runner()
        self._client = asynchronous.Client(addresses, team=team, token=token)

    def __enter__(self) -> "BlockingClient":
        self._runner.run(self._client.__aenter__())
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._runner.run(self._client.__aexit__(kind, error, trace))
        self._runner.close()

    def submit(self, job: model.Job) -> model.Answer:
        """Submit a job and wait for its complete answer."""
        return self._runner.run(self._client.submit(job))

    def status(self, job_id: str) -> model.ReplyModel:
        """Return a job's state."""
        return self._runner.run(self._client.status(job_id))

    def cancel(self, job_id: str) -> model.ReplyModel:
        """Cancel a job; the reply is its answer."""
        return self._runner.run(self._client.cancel(job_id))

    def explain(self, job_id: str) -> model.ReplyModel:
        """Return a job's history."""
        return self._runner.run(self._client.explain(job_id))

    def issue_keys(self, count: int) -> list[str]:
        """Return a block of new keys."""
        return self._runner.run(self._client.issue_keys(count))
