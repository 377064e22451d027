"""Odd jobs of callers, and odd messages of hosts, cost no other job."""

import unittest

import hypothesis
from hypothesis import strategies
import orjson
from returns import result

from tests.dispatch import builders
from tests.dispatch import test_messages
from tests.platform import fuzzed_host
from waxwingwalk.core import results
from waxwingwalk.dispatch import events
from waxwingwalk.dispatch import messages
from waxwingwalk.dispatch import model
from waxwingwalk.platform import callers

NUMBERS = fuzzed_host.NUMBERS
# Steps whose values are valid, though no server or caller has such.
STEPS = fuzzed_host.with_fields(
    count=strategies.sampled_from((1, 2, 50, 5001)),
    cpu=strategies.sampled_from((0, 1, 7000, 10**9, 10**12, 10**13)),
    mem_mb=strategies.sampled_from((0, 1, 10**12)),
    est_ms=strategies.sampled_from((0, 1e-9, 50, 1e9, 1e10, "nan")),
    after=strategies.lists(NUMBERS, max_size=1),
    requires=fuzzed_host.NAMES,
    preferred_rack=fuzzed_host.NAMES,
    max_per_server=NUMBERS,
)
QUEUE = model.Queue(
    "q",
    "shop",
    "/",
    builders.SERVICE,
    0,
    3,
    1.6,
    builders.milliseconds(60),
    builders.milliseconds(1500),
)
PEER = model.HostRecord("peer", "1", fuzzed_host.ZONE)
LINKS = {1: True, 2: False}
LOAD = messages.PoolLoad(
    "south",
    7,
    builders.SERVICE,
    [messages.FreeRoom(builders.CAPACITY, 1.5)],
    2.5,
    messages.PoolBalance(1000, 2000, 0.5),
)
MESSAGES = (
    *(message for message, _ in test_messages.FORMER_MESSAGES),
    messages.HostStatus([LOAD], False, 0, [], []),
    messages.LimitJob("j", 5.0),
    messages.KeepAlive(3),
    messages.ReleaseBackend(fuzzed_host.ZONE, "sound", 1),
    messages.RequestBackends([fuzzed_host.ZONE], 1),
    messages.ShareBackends(2, [fuzzed_host.ZONE], [builders.report("sound")]),
    messages.RequestCatalog(1, 0),
    messages.CatalogPart(1, 0, 9, "{}"),
)


def replace(document, path, value):
    """Return a document with the value at a path replaced."""
    if not path:
        return value
    if isinstance(document, list):
        return [
            replace(each, path[1:], value) if number == path[0] else each
            for number, each in enumerate(document)
        ]
    changed = replace(document[path[0]], path[1:], value)
    return document | {path[0]: changed}


def places(value, path=()):
    """Return the paths of the values within a document."""
    found = [path]
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        found += places(inner, (*path, key))
    return found


class OddJobTests(unittest.TestCase):
    @fuzzed_host.FUZZ
    @hypothesis.given(strategies.lists(STEPS, min_size=1, max_size=3))
    def test_odd_jobs_keep_no_other_job_from_being_started(self, steps):
        host = fuzzed_host.host_with_a_sound_server()
        document = {"spec": "s", "best_effort": True, "steps": steps}
        decoded = callers.decode_job(fuzzed_host.encode(document))
        if isinstance(decoded, result.Success):
            job = callers.build_job(
                decoded.unwrap(),
                QUEUE,
                "odd",
                builders.at(host.at),
                builders.milliseconds(100),
            )
            host.apply(events.JobSubmitted(job))
            # Until the caller has left.
            host.run(200, fuzzed_host.sound_answer)
        host.reducer.scheduler.abandon("odd", None, builders.at(host.at))
        self.finish_runs(host)
        self.assertEqual(host.start_job(), ["sound"])

    def test_job_with_too_many_tasks_in_all_is_refused(self):
        step = {"count": model.TASKS_MAX // 2 + 1}
        document = {"spec": "s", "best_effort": True, "steps": [step, step]}
        decoded = callers.decode_job(fuzzed_host.encode(document))
        code, reason = decoded.failure()
        self.assertIs(code, results.ResultCode.PAYLOAD_TOO_LARGE)
        self.assertIn(str(model.TASKS_MAX), reason)

    def test_job_with_too_long_estimates_in_all_is_refused(self):
        steps = [{"est_ms": 6e8}, {"est_ms": 6e8, "after": [0]}]
        document = {"spec": "s", "best_effort": True, "steps": steps}
        decoded = callers.decode_job(fuzzed_host.encode(document))
        code, _ = decoded.failure()
        self.assertIs(code, results.ResultCode.INVALID_REQUEST)

    def finish_runs(self, host):
        """Let the server end all runs."""
        server = next(iter(host.reducer.run_tracker))
        ended = [
            [server.acknowledged + number, key.task, key.run, "done", ""]
            for number, key in enumerate(server.runs, start=1)
        ]

        def answer(poll):
            return fuzzed_host.encode(
                {"clock_ms": 2000, "born": 1, "ended": ended}
            )

        host.run(400, answer)

    def test_odd_messages_keep_no_job_from_being_started(self):
        for message in MESSAGES:
            document = orjson.loads(messages.encode(message))
            for path in places(document):
                if path[-1:] == ("fence",):
                    # A host with a higher fence has the pool.
                    continue
                with self.subTest(kind=message.kind, path=path):
                    odd = [
                        replace(document, path, number)
                        for number in fuzzed_host.ODD_NUMBERS
                    ]
                    self.receive_odd(odd)

    def receive_odd(self, documents):
        """Let a host receive messages, and start a job."""
        host = fuzzed_host.host_with_a_sound_server()
        for link, is_outbound in LINKS.items():
            host.apply(events.LinkOpened(link, PEER, is_outbound))
        content = fuzzed_host.encode({"sent_ms": 1, "messages": documents})
        frame, errors = messages.decode_separately(content.decode())
        self.assertEqual(len(frame.messages) + len(errors), len(documents))
        for message in frame.messages:
            messages.deduct_delay(message, 1.0)
            for link in LINKS:
                host.receive(message, link)
        self.finish_runs(host)
        self.assertEqual(host.start_job(), ["sound"])
        # More tasks than fit here; some are offered to the peer.
        job = builders.job("more", tasks=5, now=builders.at(host.at))
        host.apply(events.JobSubmitted(job))
        host.run(200, fuzzed_host.sound_answer)


if __name__ == "__main__":
    unittest.main()
