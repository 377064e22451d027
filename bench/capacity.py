"""``python -m bench.capacity``: what control costs, and how it grows.

Each figure is measured at three sizes or more, on the real reducer, codecs
and validators, without a network.
"""

from collections.abc import Callable
import datetime
import random
import time
import tracemalloc
from typing import Any

import orjson

from waxwingwalk.core import clock
from waxwingwalk.core import effects
from waxwingwalk.core import events
from waxwingwalk.core import identity
from waxwingwalk.core import messages
from waxwingwalk.core import model
from waxwingwalk.settings import adopted
from waxwingwalk.settings import tree as settings_tree
from waxwingwalk.store import host_list
import waxwingwalk.wiring as wiring

REPEATS = 200
TICK = datetime.timedelta(milliseconds=50)


class Sample:
    """A reducer that can be grown to a size in each direction."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        process = identity.ProcessId("10.0.0.1:7003", "0" * 18)
        place = adopted.Place("region", "zone-0", "default")
        self.reducer = wiring.build_reducer(
            process, place, self.time, random.Random(1)
        )
        self.apply(events.SettingsRead(revision(0).document()))

    def apply(self, event: events.Event) -> list[effects.Effect]:
        """Apply an event."""
        return self.reducer.apply(event, self.time.now())

    def add_members(self, count: int) -> None:
        """Let so many peers join, and answer each probe."""
        for number in range(count):
            record = member(number)
            probe = messages.Probe(
                record, [], 1, {}, True, {"refunds": 10.0, "orders": 3.0}
            )
            self.apply(
                events.PeerMessageReceived(
                    record.address, record.incarnation, probe
                )
            )

    def add_backends(self, count: int) -> None:
        """List so many backend servers."""
        listed = host_list.parse(hosts(count)).unwrap()
        self.apply(events.BackendsListed(listed.backends))

    def add_tasks(self, count: int) -> None:
        """Queue so many tasks."""
        now = self.time.now()
        for serial in range(0, count, 100):
            tasks = [
                model.TaskSpec({"n": n}, datetime.timedelta(seconds=0.3))
                for n in range(100)
            ]
            spec = model.JobSpec(
                self.reducer.state.next_job_id(),
                "refunds",
                f"team-{serial % 27}",
                tasks,
                now,
                now + datetime.timedelta(hours=1),
            )
            self.apply(events.JobSubmitted(spec))

    def ticks(self, count: int) -> list[effects.Effect]:
        """Let time pass in ticks; answer the probes that are sent."""
        done = []
        for _ in range(count):
            self.time.advance(TICK)
            done += self.apply(events.Ticked())
            for address in self._probed(done[-5:]):
                self._answer(address)
        return done

    def _probed(self, done: list[effects.Effect]) -> list[str]:
        return [
            effect.address
            for effect in done
            if isinstance(effect, effects.SendToPeer)
        ]

    def _answer(self, address: str) -> None:
        known = self.reducer.state.membership.get(address)
        if known is not None:
            probe = messages.Probe(known.record, [], 1, {}, True)
            self.apply(
                events.PeerMessageReceived(
                    address, known.record.incarnation, probe
                )
            )


def member(number: int) -> messages.MemberRecord:
    """Return a member's record."""
    return messages.MemberRecord(
        f"10.{number // 250}.0.{number % 250}:7003",
        f"{number + 1:018x}",
        f"zone-{number % 10}",
        f"region-{number % 2}",
        "live",
        1,
    )


def hosts(count: int) -> dict[str, Any]:
    """Return a host list."""
    entries = [
        {
            "id": f"backend-{number:04d}",
            "address": f"10.9.{number // 250}.{number % 250}:8000",
            "zone": f"zone-{number % 10}",
            "rack": f"rack-{number // 8}",
            "incarnation": "1700000000",
            "services": ["refunds"],
            "slots": 8,
            "connections": 64,
            "processors": 16,
            "memory": 2**36,
            "accelerators": 0,
            "state": "live",
        }
        for number in range(count)
    ]
    return {"entry_hosts": [], "backend_servers": entries}


def revision(teams: int) -> adopted.Revision:
    """Return a revision whose tree has so many teams."""
    tree = {
        "defaults": {"job_deadline": "20 s", "admission": "open"},
        "teams": {
            f"team-{number}": {"weight": 2, "quota": 64}
            for number in range(teams)
        },
    }
    tree["defaults"]["queue_max_tasks"] = 1_000_000
    return adopted.Revision(
        number=1 + teams,
        change_id="0" * 32,
        author="operator",
        at="2026-03-01T00:00:00+00:00",
        reason="an ordinary reason",
        changes={"teams.team-1.quota": 64},
        tree=tree,
    )


def cpu_microseconds(work: Callable[[], object], repeats: int) -> float:
    """Return the processor time of one call."""
    begun = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - begun) / repeats * 1e6


def report(
    title: str, unit: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> None:
    """Print a figure at each size, and the slope between the ends."""
    figures = [cost(size) for size in sizes]
    slope = (figures[-1] - figures[0]) / (sizes[-1] - sizes[0])
    shown = "  ".join(
        f"{size}: {figure:.1f}"
        for size, figure in zip(sizes, figures, strict=True)
    )
    print(f"{title} ({unit})\n    {shown}\n    slope {slope:.4f}")


def tick_cost(grow: Callable[[Sample, int], None]) -> Callable[[int], float]:
    """Return a function that measures a tick at a size."""

    def cost(size: int) -> float:
        sample = Sample()
        sample.add_backends(24)
        grow(sample, size)
        sample.ticks(20)
        return cpu_microseconds(lambda: sample.ticks(1), REPEATS)

    return cost


def probe_bytes_a_second(size: int) -> float:
    """Return the bytes a second that a process sends in probes."""
    sample = Sample()
    sample.add_members(size)
    # The changes of the joins have been passed on by then.
    sample.ticks(20 * 1800)
    seconds = 60
    sent = sample.ticks(20 * seconds)
    probes = [
        effect.message
        for effect in sent
        if isinstance(effect, effects.SendToPeer)
    ]
    # A reply to a peer's probe is about as large as a probe.
    return 2 * sum(len(orjson.dumps([p])) for p in probes) / seconds


def join_bytes(size: int) -> float:
    """Return the size of the reply that tells a newcomer of all members."""
    sample = Sample()
    sample.add_members(size)
    record = member(size)
    probe = messages.Probe(record, [], 1, {}, False)
    done = sample.apply(
        events.PeerMessageReceived(record.address, record.incarnation, probe)
    )
    return max(
        len(orjson.dumps([effect.message]))
        for effect in done
        if isinstance(effect, effects.SendToPeer)
    )


def memory_kib(grow: Callable[[Sample, int], None]) -> Callable[[int], float]:
    """Return a function that measures the memory of a size, in KiB."""

    def cost(size: int) -> float:
        sample = Sample()
        sample.add_backends(1)
        tracemalloc.start()
        grow(sample, size)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / 1024

    return cost


def adopt_cost(teams: int) -> float:
    """Return the processor time of adopting one changed setting."""
    known = revision(teams)
    change = {"teams.team-1.quota": 65}

    def adopt() -> None:
        built = settings_tree.apply_changes(known.tree, change).unwrap()
        whole = known.model_copy(update={"tree": built})
        again = adopted.Revision.model_validate_json(whole.document())
        settings_tree.validate(again.tree)

    return cpu_microseconds(adopt, 20)


def main() -> None:
    """Print every figure."""
    members = (10, 50, 100, 200)
    servers = (24, 200, 800)
    teams = (27, 90, 270)
    tasks = (1000, 4000, 16000)
    report(
        "a tick, by members",
        "us",
        members,
        tick_cost(lambda sample, size: sample.add_members(size)),
    )
    report(
        "a tick, by backend servers",
        "us",
        servers,
        tick_cost(lambda sample, size: sample.add_backends(size)),
    )
    report(
        "a tick, by queued tasks",
        "us",
        tasks,
        tick_cost(lambda sample, size: sample.add_tasks(size)),
    )
    report("probes sent, by members", "bytes/s", members, probe_bytes_a_second)
    report("reply to a newcomer, by members", "bytes", members, join_bytes)
    report(
        "host list, by backend servers",
        "bytes",
        servers,
        lambda size: len(orjson.dumps(hosts(size))),
    )
    report(
        "host list, parsed and merged, by backend servers",
        "us",
        servers,
        lambda size: cpu_microseconds(lambda: Sample().add_backends(size), 5),
    )
    report(
        "a settings notice, by teams",
        "bytes",
        teams,
        lambda size: len(revision(size).document(has_tree=False)),
    )
    report(
        "a settings revision, whole, by teams",
        "bytes",
        teams,
        lambda size: len(revision(size).document()),
    )
    report("a change adopted, by teams", "us", teams, adopt_cost)
    report(
        "memory, by members",
        "KiB",
        members,
        memory_kib(lambda sample, size: sample.add_members(size)),
    )
    report(
        "memory, by backend servers",
        "KiB",
        servers,
        memory_kib(lambda sample, size: sample.add_backends(size)),
    )
    report(
        "memory, by queued tasks",
        "KiB",
        tasks,
        memory_kib(lambda sample, size: sample.add_tasks(size)),
    )


if __name__ == "__main__":
    main()
