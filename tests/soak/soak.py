"""One soak: a cluster of processes, seeded faults and the checks."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import random
import shutil
import time

from aiohttp import web

from tests.platform import stand_in
from tests.soak import callers as soak_callers
from tests.soak import faults
from tests.soak import hosts as soak_hosts
from tests.soak import platform
from tests.soak import proxy
from waxwingwalk.dispatch import model
from waxwingwalk.emulator import backend as emulated_backend
from waxwingwalk.emulator import guarantees

# Where the logs of soaks with findings stay; ignored by version control.
KEEP_FOLDER = "build/soak"
ZONES = ("north", "south")
CAPACITY = model.Resources(processors=16_000, memory=65_536)
SLOWNESSES = (0.6, 1.0, 1.6)
CALLERS = 8
# Interval at which servers renew their rows, and at which routes are checked.
REGISTRATION_INTERVAL_SECONDS = 0.5
# The row of a crashed backend server is removed after this time.
ROW_EXPIRY_SECONDS = 1.5
# A server that a task has crashed restarts after this time.
CRASH_DOWN_SECONDS = 2.0
JOBS_PER_SECOND = 20
# The users' limit on the time until callers are served after a full outage.
RECOVERY_LIMIT_SECONDS = 12.0
# Waiting for readiness or for recovery is given up after this time.
RECOVERY_TIMEOUT_SECONDS = 60.0
# All runs on backend servers have to end within this time after the last
# answer: leases last one second, and a server that was silent is polled every
# half second.
RUN_END_LIMIT_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class SoakResult:
    """Results of a soak."""

    seed: int
    faults: tuple
    findings: tuple
    counts: soak_callers.RequestCounts
    # Requests that got no answer, or one that leaves open what has run.
    failures: tuple
    starts: int
    recovered_in: float | None

    def __str__(self):
        recovered = "not"
        if self.recovered_in is not None:
            recovered = f"in {self.recovered_in:.1f} s"
        lines = [
            f"seed {self.seed}: {self.counts}; {self.starts} starts; "
            f"recovered {recovered}; {len(self.findings)} findings",
            *(f"  {at:5.1f} s {fault}" for at, fault in self.faults),
            *(f"  failed {each}" for each in self.failures),
            *(f"  FOUND {each}" for each in self.findings),
        ]
        return "\n".join(lines)


class Cluster:
    """The stand-in platform, the hosts and the callers of a soak."""

    def __init__(self, seed, folder, hosts_per_zone=2, servers_per_zone=3):
        self.random = random.Random(seed)
        self.timeline = platform.MonotonicTimeline()
        self.task_definitions = {}
        self.checker = guarantees.GuaranteeChecker(
            self.timeline, self.task_definitions, self.crash_server
        )
        self.platform = platform.FaultyStore(self.random)
        self.endpoints = {}
        self.server_proxies = {}
        # The rows of these servers stay as they are.
        self.cut_off_from_store = set()
        # Servers whose capacity is halved.
        self.shrunk = set()
        # Whether no jobs are submitted.
        self.is_quiet = False
        self.version = 0
        self.route_count = 0
        self.findings = []
        self._served_routes = {}
        self._runners = []
        self._background_tasks = []
        self._restarts = set()
        self._crashed_at = {}
        # The loopback addresses depend on the process id of the soak and on
        # the seed, so that several soaks can run at the same time.
        network = f"127.{1 + os.getpid() % 250}.{1 + seed % 250}"
        self.hosts = [
            soak_hosts.HostProcess(
                f"host-{zone}-{number}",
                f"{network}.{1 + len(ZONES) * number + zone_index}",
                zone,
                folder,
                faults.dispatch_settings(seed),
            )
            for zone_index, zone in enumerate(ZONES)
            for number in range(hosts_per_zone)
        ]
        self._servers_per_zone = servers_per_zone
        self.callers = []
        self.load = None

    async def start(self):
        """Start all parts and wait until every host is ready."""
        address = await self._serve(self.platform.application())
        for zone in ZONES:
            for number in range(self._servers_per_zone):
                await self._add_server(f"server-{zone}-{number}", zone, number)
        self.change_config()
        for host in self.hosts:
            await host.listen(address)
        addresses = [host.link_proxy.address for host in self.hosts]
        for host in self.hosts:
            host.set_peer_addresses(addresses)
            await host.start(self.seeds)
        self.callers = [
            soak_callers.Caller(self.hosts, self.random)
            for _ in range(CALLERS)
        ]
        self.load = soak_callers.Load(
            self.callers, self.checker, self.task_definitions, self.random
        )
        for coroutine in (
            self.timeline.run_forever(),
            self._renew_registrations(),
            self._watch_routes(),
            *(soak_callers.track_readiness(host) for host in self.hosts),
        ):
            self._background_tasks.append(asyncio.create_task(coroutine))
        await self._wait_until_ready()

    @property
    def seeds(self):
        """The addresses from which hosts discover each other."""
        return [host.link_proxy.address for host in self.hosts[:2]]

    async def _serve(self, application):
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self._runners.append(runner)
        return "{}:{}".format(*runner.addresses[0][:2])

    async def _add_server(self, name, zone, number):
        report = model.BackendReport(
            incarnation=model.BackendIncarnation(name, self._unix_ms()),
            service=soak_callers.SERVICE,
            address="",
            zone=zone,
            advertised_state=model.AdvertisedState.READY,
            capacity=CAPACITY,
            labels=frozenset(),
        )
        backend = emulated_backend.EmulatedBackend(
            self.timeline,
            report,
            SLOWNESSES[number % len(SLOWNESSES)],
            self.task_definitions.__getitem__,
            self.checker,
        )
        endpoint = platform.BackendEndpoint(
            self.timeline, backend, self.random
        )
        server_proxy = proxy.Proxy(await self._serve(endpoint.application()))
        await server_proxy.start()
        self.endpoints[name] = endpoint
        self.server_proxies[name] = server_proxy
        self.register(name)

    def _unix_ms(self):
        return int(self.timeline.now().timestamp() * 1000)

    def register(self, name, **fields):
        """Write the row of a backend server, with other fields if given."""
        if name in self.cut_off_from_store:
            return
        report = self.endpoints[name].backend.report
        row = stand_in.worker_row(
            self.server_proxies[name].address,
            zone=report.zone,
            state=report.advertised_state.value,
            born=report.incarnation.started_ms,
            seq=self.platform.version,
            room={
                "cpu": report.capacity.processors,
                "mem_mb": report.capacity.memory,
            },
        )
        row |= fields
        row = {key: value for key, value in row.items() if value is not None}
        self.platform.put("servers", name, row)

    def runs_long_task(self, name):
        """Return whether a long task runs on a backend server."""
        return any(
            self.task_definitions[key.task].work >= soak_callers.LONG_WORK
            for key in self.endpoints[name].backend.runs
        )

    def change_config(self, bulk_routes=0):
        """Write a new configuration, which adds a route each time.

        It also has a number of routes that the next one does not have.
        """
        self.version += self.random.randint(1, 3)
        self.route_count += 1
        document = stand_in.config(self.version)
        document["routes"] += [
            document["routes"][0] | {"name": name, "prefix": f"/{name}/"}
            for name in (
                *(f"extra-{n}" for n in range(1, self.route_count)),
                *(f"bulk-{n}" for n in range(bulk_routes)),
            )
        ]
        self.platform.put("op", "config", document)

    def crash_server(self, name):
        """Crash a server under a task; it restarts under the same id."""
        self.endpoints[name].backend.crash()
        self.server_proxies[name].reset()
        task = asyncio.create_task(self._restart_crashed_server(name))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_crashed_server(self, name):
        await asyncio.sleep(CRASH_DOWN_SECONDS)
        backend = self.endpoints[name].backend
        self.timeline.run_due()
        if not backend.is_up:
            backend.restart()
            self.checker.record_restart(name)

    def resize_server(self, name, capacity):
        """Change the capacity of a server, which says so in its row."""
        backend = self.endpoints[name].backend
        former = backend.report.capacity
        backend.report = dataclasses.replace(backend.report, capacity=capacity)
        if not capacity.holds(former):
            self.checker.record_shrinkage(name, former)
        self.register(name)

    async def _renew_registrations(self):
        """Renew the rows of running servers; remove those of crashed ones."""
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)
            if self.platform.status or self.platform.is_silent:
                continue
            now = time.monotonic()
            for name, endpoint in self.endpoints.items():
                if endpoint.backend.is_up:
                    self._crashed_at.pop(name, None)
                    self.register(name)
                    continue
                since = self._crashed_at.setdefault(name, now)
                if now - since > ROW_EXPIRY_SECONDS:
                    self.platform.remove("servers", name)

    async def _watch_routes(self):
        """Check that no host incarnation reverts to an older configuration."""
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_SECONDS)
            for host in self.hosts:
                incarnation = (host.name, host.incarnation)
                for number in range(1, self.route_count):
                    path = f"/extra-{number}/"
                    is_served = await soak_callers.is_served(host, path)
                    if is_served:
                        self._served_routes.setdefault(incarnation, set()).add(
                            path
                        )
                    elif (
                        is_served is False
                        and host.incarnation == incarnation[1]
                    ):
                        self._check_route(incarnation, path)

    def _check_route(self, incarnation, path):
        if path in self._served_routes.get(incarnation, set()):
            self.findings.append(f"{incarnation} no longer serves {path}")

    async def _wait_until_ready(self):
        """Wait until every host serves the latest configuration."""
        newest = f"/extra-{self.route_count - 1}/"
        if self.route_count == 1:
            newest = soak_callers.PREFIX
        async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
            for host in self.hosts:
                while not await soak_callers.is_served(host, newest):
                    await asyncio.sleep(0.05)

    async def recover(self):
        """Wait until callers are served; return the seconds that it took.

        None if the cluster did not recover in time.
        """
        started = time.monotonic()
        consecutive = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
                await self._wait_until_ready()
                while consecutive < 2 * len(self.hosts):
                    # With one job at a time none has a reason to be refused.
                    is_done = await self.load.run_job()
                    consecutive = consecutive + 1 if is_done else 0
                return time.monotonic() - started
        return None

    async def stop(self):
        """Stop all processes and servers of the soak."""
        tasks = [*self._background_tasks, *self._restarts]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for host in self.hosts:
            await host.stop()
        for caller in self.callers:
            await caller.close()
        for server_proxy in self.server_proxies.values():
            await server_proxy.stop()
        for runner in self._runners:
            await runner.cleanup()


class Soak:
    """Runs a load and overlapping faults from a seed, then the checks."""

    def __init__(
        self,
        seed,
        folder,
        seconds,
        *,
        kinds=None,
        recovery_limit=RECOVERY_LIMIT_SECONDS,
        **size,
    ):
        self._seed = seed
        self._recovery_limit = recovery_limit
        self._seconds = seconds
        self._cluster = Cluster(seed, folder, **size)
        self._random = random.Random(seed)
        self._kinds = kinds or faults.kinds(seed)
        # Planned work alone must not break a request.
        self._is_planned = set(self._kinds) <= set(faults.PLANNED)
        self._faults = []
        self._fault_tasks = set()

    async def run(self):
        """Run the soak and return its result."""
        cluster = self._cluster
        try:
            await cluster.start()
            await self._run_load_and_faults()
            await asyncio.gather(*self._fault_tasks)
            recovered = await cluster.recover()
            if recovered is None or recovered > self._recovery_limit:
                cluster.findings.append(f"recovered in {recovered} s")
            await cluster.load.finish()
            await self._check_no_run_is_left()
            await self._terminate_hosts()
        finally:
            await cluster.stop()
        counts = cluster.load.counts
        if self._is_planned and (counts.broken or counts.lost):
            cluster.findings.append(
                f"planned work: {counts.broken} requests broken, "
                f"{counts.lost} lost"
            )
        return SoakResult(
            seed=self._seed,
            faults=tuple(self._faults),
            findings=(
                *map(str, cluster.checker.violations),
                *cluster.findings,
            ),
            counts=cluster.load.counts,
            failures=tuple(cluster.load.failures),
            starts=cluster.checker.starts,
            recovered_in=recovered,
        )

    async def _run_load_and_faults(self):
        plan = sorted(
            (
                self._random.uniform(0, self._seconds),
                self._random.choice(self._kinds),
                self._random.randrange(2**32),
            )
            for _ in range(max(1, self._seconds // 2))
        )
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < self._seconds:
            while plan and plan[0][0] <= elapsed:
                _, kind, seed = plan.pop(0)
                fault = faults.ALL[kind](self._cluster, random.Random(seed))
                self._faults.append((elapsed, kind))
                task = asyncio.create_task(fault)
                self._fault_tasks.add(task)
            if not self._cluster.is_quiet:
                self._cluster.load.submit()
            delay = self._random.expovariate(JOBS_PER_SECOND)
            await asyncio.sleep(delay)

    async def _check_no_run_is_left(self):
        cluster = self._cluster
        limit = time.monotonic() + RUN_END_LIMIT_SECONDS
        while time.monotonic() < limit:
            running = [
                key
                for endpoint in cluster.endpoints.values()
                for key in endpoint.backend.runs
            ]
            if not running:
                return
            await asyncio.sleep(0.1)
        cluster.findings.append(f"runs that did not end: {running[:3]}")

    async def _terminate_hosts(self):
        cluster = self._cluster
        await asyncio.gather(*(host.terminate() for host in cluster.hosts))
        for host in cluster.hosts:
            if host.sigterm_timeouts:
                cluster.findings.append(
                    f"{host.name} outlived SIGTERM "
                    f"{host.sigterm_timeouts} times"
                )
            cluster.findings += [
                f"{host.name}: {line}" for line in host.errors()[:3]
            ]


async def run_and_keep(seed, seconds, *, keep=KEEP_FOLDER, **options):
    """Run a soak; keep its logs and its result if anything was found."""
    folder = pathlib.Path(keep) / f"seed-{seed}-{os.getpid()}-{time.time_ns()}"
    folder.mkdir(parents=True)
    result = await Soak(seed, folder, seconds, **options).run()
    if result.findings:
        (folder / "result.txt").write_text(f"{result}\n")
    else:
        shutil.rmtree(folder)
    return result
