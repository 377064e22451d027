"""Client library for callers.

::

    async with client.Client(["10.0.0.4:7001"], team="shops") as dispatcher:
        answer = await dispatcher.submit(job)
        if answer.is_complete:
            print(answer.results)

:class:`waxwingwalk.client.blocking.BlockingClient` is the equivalent for
programs without an event loop.
"""

from waxwingwalk.client.asynchronous import Client
from waxwingwalk.client.blocking import BlockingClient
from waxwingwalk.client.model import Answer
from waxwingwalk.client.model import Job
from waxwingwalk.client.model import Task

__all__ = ["Answer", "BlockingClient", "Client", "Job", "Task"]
