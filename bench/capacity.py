"""``python -m bench.capacity``: cost of control and how it scales.

Each figure is measured at three or more sizes with the production reducer,
codecs and validators, but without a network.
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


class SampleReducer:
    """A reducer with a given number of members, backend servers and tasks."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        process = identity.ProcessId("10.0.0.1:7003", "0" * 18)
        place = adopted.Place("region", "zone-0", "default")
        self.reducer = wiring.build_reducer(
            process, place, self.time, random.Random(1)
        )
        self.apply(events.SettingsRead(build_revision(0).document()))

    def apply(self, event: events.Event) -> list[effects.Effect]:
        """Apply an event at the current time."""
        return self.reducer.apply(event, self.time.now())

    def add_members(self, count: int) -> None:
        """Let this number of peers join by sending a probe each."""
        for number in range(count):
            record = build_member_record(number)
            probe = messages.Probe(
                record, [], 1, {}, True, {"refunds": 10.0, "orders": 3.0}
            )
            self.apply(
                events.PeerMessageReceived(
                    record.address, record.incarnation, probe
                )
            )

    def add_backends(self, count: int) -> None:
        """Apply a host list with this number of backend servers."""
        listed = host_list.parse(build_host_list(count)).unwrap()
        self.apply(events.BackendsListed(listed.backends))

    def add_tasks(self, count: int) -> None:
        """Queue tasks, in jobs of 100."""
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

    def apply_ticks(self, count: int) -> list[effects.Effect]:
        """Apply ticks, and answer the probes that they send."""
        emitted = []
        for _ in range(count):
            self.time.advance(TICK)
            emitted += self.apply(events.Ticked())
            for address in self._probed_addresses(emitted[-5:]):
                self._answer_probe(address)
        return emitted

    def _probed_addresses(self, emitted: list[effects.Effect]) -> list[str]:
        return [
            effect.address
            for effect in emitted
            if isinstance(effect, effects.SendToPeer)
        ]

    def _answer_probe(self, address: str) -> None:
        known = self.reducer.state.membership.get(address)
        if known is not None:
            probe = messages.Probe(known.record, [], 1, {}, True)
            self.apply(
                events.PeerMessageReceived(
                    address, known.record.incarnation, probe
                )
            )


def build_member_record(number: int) -> messages.MemberRecord:
    """Return the record of a member."""
    return messages.MemberRecord(
        f"10.{number // 250}.0.{number % 250}:7003",
        f"{number + 1:018x}",
        f"zone-{number % 10}",
        f"region-{number % 2}",
        "live",
        1,
    )


def build_host_list(count: int) -> dict[str, Any]:
    """Return a host list with this number of backend servers."""
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


def build_revision(teams: int) -> adopted.Revision:
    """Return a revision whose tree has this number of teams."""
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
    """Return the mean processor time of a call, in microseconds."""
    started_at = time.process_time()
    for _ in range(repeats):
        work()
    return (time.process_time() - started_at) / repeats * 1e6


def print_figures(
    title: str, unit: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> None:
    """Print the figure for each size, and the slope from first to last."""
    figures = [cost(size) for size in sizes]
    slope = (figures[-1] - figures[0]) / (sizes[-1] - sizes[0])
    shown = "  ".join(
        f"{size}: {figure:.1f}"
        for size, figure in zip(sizes, figures, strict=True)
    )
    print(f"{title} ({unit})\n    {shown}\n    slope {slope:.4f}")


def tick_cost(
    grow: Callable[[SampleReducer, int], None],
) -> Callable[[int], float]:
    """Return a function that measures the cost of a tick at a size."""

    def cost(size: int) -> float:
        sample = SampleReducer()
        sample.add_backends(24)
        grow(sample, size)
        sample.apply_ticks(20)
        return cpu_microseconds(lambda: sample.apply_ticks(1), REPEATS)

    return cost


def probe_bytes_per_second(size: int) -> float:
    """Return the bytes per second that a process sends in probes."""
    sample = SampleReducer()
    sample.add_members(size)
    # After 1800 s the membership changes of the joins have been disseminated.
    sample.apply_ticks(20 * 1800)
    seconds = 60
    sent = sample.apply_ticks(20 * seconds)
    probes = [
        effect.message
        for effect in sent
        if isinstance(effect, effects.SendToPeer)
    ]
    # A reply to a peer's probe is about as large as a probe.
    return 2 * sum(len(orjson.dumps([p])) for p in probes) / seconds


def join_reply_bytes(size: int) -> float:
    """Return the size of the reply with all members to a joining peer."""
    sample = SampleReducer()
    sample.add_members(size)
    record = build_member_record(size)
    probe = messages.Probe(record, [], 1, {}, False)
    emitted = sample.apply(
        events.PeerMessageReceived(record.address, record.incarnation, probe)
    )
    return max(
        len(orjson.dumps([effect.message]))
        for effect in emitted
        if isinstance(effect, effects.SendToPeer)
    )


def memory_kib(
    grow: Callable[[SampleReducer, int], None],
) -> Callable[[int], float]:
    """Return a function that measures the memory use at a size, in KiB."""

    def cost(size: int) -> float:
        sample = SampleReducer()
        sample.add_backends(1)
        tracemalloc.start()
        grow(sample, size)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return used / 1024

    return cost


def adoption_cost(teams: int) -> float:
    """Return the processor time of adopting a revision with one change."""
    known = build_revision(teams)
    change = {"teams.team-1.quota": 65}

    def adopt() -> None:
        new_tree = settings_tree.apply_changes(known.tree, change).unwrap()
        new_revision = known.model_copy(update={"tree": new_tree})
        parsed = adopted.Revision.model_validate_json(new_revision.document())
        settings_tree.validate(parsed.tree)

    return cpu_microseconds(adopt, 20)


def main() -> None:
    """Measure and print all figures."""
    members = (10, 50, 100, 200)
    servers = (24, 200, 800)
    teams = (27, 90, 270)
    tasks = (1000, 4000, 16000)
    print_figures(
        "a tick, by members",
        "us",
        members,
        tick_cost(lambda sample, size: sample.add_members(size)),
    )
    print_figures(
        "a tick, by backend servers",
        "us",
        servers,
        tick_cost(lambda sample, size: sample.add_backends(size)),
    )
    print_figures(
        "a tick, by queued tasks",
        "us",
        tasks,
        tick_cost(lambda sample, size: sample.add_tasks(size)),
    )
    print_figures(
        "probes sent, by members", "bytes/s", members, probe_bytes_per_second
    )
    print_figures(
        "reply to a newcomer, by members", "bytes", members, join_reply_bytes
    )
    print_figures(
        "host list, by backend servers",
        "bytes",
        servers,
        lambda size: len(orjson.dumps(build_host_list(size))),
    )
    print_figures(
        "host list, parsed and merged, by backend servers",
        "us",
        servers,
        lambda size: cpu_microseconds(
            lambda: SampleReducer().add_backends(size), 5
        ),
    )
    print_figures(
        "a settings notice, by teams",
        "bytes",
        teams,
        lambda size: len(build_revision(size).document(has_tree=False)),
    )
    print_figures(
        "a settings revision, whole, by teams",
        "bytes",
        teams,
        lambda size: len(build_revision(size).document()),
    )
    print_figures("a change adopted, by teams", "us", teams, adoption_cost)
    print_figures(
        "memory, by members",
        "KiB",
        members,
        memory_kib(lambda sample, size: sample.add_members(size)),
    )
    print_figures(
        "memory, by backend servers",
        "KiB",
        servers,
        memory_kib(lambda sample, size: sample.add_backends(size)),
    )
    print_figures(
        "memory, by queued tasks",
        "KiB",
        tasks,
        memory_kib(lambda sample, size: sample.add_tasks(size)),
    )


if __name__ == "__main__":
    main()
