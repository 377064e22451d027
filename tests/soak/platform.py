"""Stand-in platform for the soak: emulated backend servers over HTTP."""

import asyncio
import datetime
import time

from aiohttp import web

from tests.platform import stand_in
from waxwingwalk.dispatch import effects
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import timeline

STEP_SECONDS = 0.002
# Range of the delay of late orders, in seconds.
LATE_SECONDS = (2.0, 6.0)
# After this time the caller of an unanswered call has given up.
UNANSWERED_SECONDS = 4.0
REASONS = {
    model.CallOutcome.FENCED: "fence",
    model.CallOutcome.OLD_RUN: "old",
    model.CallOutcome.EXPIRED: "late",
}


class MonotonicTimeline(timeline.Timeline):
    """The emulator's timeline, driven by the monotonic clock.

    ``run_due`` has to be called before each call to a server is processed.
    However late this process is, what was due earlier then happens first, so
    that the order of events is correct on a busy machine.
    """

    def __init__(self):
        super().__init__()
        self._epoch = self.now()
        self._started = time.monotonic()

    def run_due(self):
        """Run all due actions."""
        elapsed = time.monotonic() - self._started
        self.run_until(self._epoch + datetime.timedelta(seconds=elapsed))

    async def run_forever(self):
        """Run actions when they are due, until cancelled."""
        while True:
            self.run_due()
            await asyncio.sleep(STEP_SECONDS)


def abort_connection(request):
    """Reset the connection of a request; the response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


class BackendEndpoint:
    """The HTTP interface of an emulated backend server."""

    def __init__(self, timeline, backend, random):
        self.backend = backend
        self._timeline = timeline
        self._random = random
        # Share of calls that are executed late, whose answers are lost, too,
        # and share of calls whose answer is lost, which includes the former.
        self.late_share = 0.0
        self.lost_share = 0.0

    def application(self):
        """Return the application."""
        app = web.Application(middlewares=[self._deliver])
        app.router.add_post("/run-start", self._start)
        app.router.add_post("/run-stop", self._stop)
        app.router.add_post("/hold", self._poll)
        return app

    @web.middleware
    async def _deliver(self, request, handler):
        try:
            body = await request.json()
        except ConnectionResetError:
            return abort_connection(request)
        draw = self._random.random()
        if draw < self.late_share:
            await asyncio.sleep(self._random.uniform(*LATE_SECONDS))
        self._timeline.run_due()
        if not self.backend.is_up:
            return abort_connection(request)
        incarnation = self.backend.report.incarnation
        if request.headers["Expect-Instance"] != incarnation.backend_id:
            return web.Response(status=421)
        response = await handler(body, incarnation)
        is_lost = draw < max(self.late_share, self.lost_share)
        if is_lost or not self.backend.is_up:
            if is_lost:
                await asyncio.sleep(UNANSWERED_SECONDS)
            return abort_connection(request)
        return response

    def _reply(self, outcome, **content):
        content["clock_ms"] = self.backend.server_clock_ms
        if outcome is model.CallOutcome.ACCEPTED:
            return web.json_response(content)
        content["reason"] = REASONS[outcome]
        return web.json_response(content, status=409)

    async def _start(self, body, incarnation):
        order = effects.StartRun(
            incarnation=incarnation,
            address="",
            fence=body["fence"],
            run=model.RunKey(body["task"], body["run"]),
            spec=body["spec"],
            lease_ends_ms=body["deadline_ms"],
        )
        return self._reply(self.backend.start(order).outcome)

    async def _stop(self, body, incarnation):
        run = model.RunKey(body["task"], body["run"])
        order = effects.StopRun(incarnation, "", body["fence"], run)
        return self._reply(self.backend.stop(order).outcome)

    async def _poll(self, body, incarnation):
        order = effects.PollBackend(
            incarnation=incarnation,
            address="",
            fence=body["fence"],
            acknowledged=body["acked_upto"],
            lease_ends_ms=body.get("deadline_ms"),
            wait=body.get("wait_ms", 0) * model.MILLISECOND,
        )
        listed = asyncio.get_running_loop().create_future()

        def reply(event):
            if not listed.done():
                listed.set_result(event)

        self.backend.poll(order, reply)
        while not listed.done():
            if not self.backend.is_up:
                return web.Response(status=500)
            await asyncio.wait([listed], timeout=STEP_SECONDS * 25)
        event = listed.result()
        if event.outcome is not model.CallOutcome.ACCEPTED:
            return self._reply(event.outcome)
        return self._reply(
            event.outcome,
            born=incarnation.started_ms,
            running=[[key.task, key.run, "", 50] for key in event.running],
            ended=[
                [end.serial, end.task, end.run, end.end.value, ""]
                for end in event.ended
            ],
        )


class FaultyStore(stand_in.Store):
    """A store that can also be slow and lose answers."""

    def __init__(self, random):
        super().__init__()
        self._random = random
        self.delay = 0.0
        self.lost_share = 0.0

    def clear_faults(self):
        """End all faults."""
        self.status = None
        self.is_silent = False
        self.delay = self.lost_share = 0.0

    def forget_history(self):
        """Answer feeds that start before the current version with 410."""
        self.history_from = self.version

    @web.middleware
    async def _fault(self, request, handler):
        if self.status is not None:
            return web.Response(status=self.status)
        await asyncio.sleep(self.delay)
        if self.is_silent:
            await asyncio.sleep(UNANSWERED_SECONDS)
            return web.Response(status=503)
        try:
            response = await handler(request)
        except ConnectionResetError:
            # The connection was reset before the request was complete.
            return web.Response(status=500)
        if self._random.random() < self.lost_share:
            await asyncio.sleep(UNANSWERED_SECONDS)
            abort_connection(request)
        return response
