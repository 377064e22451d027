"""Faults that a soak injects from outside the processes.

Each fault takes the cluster and a random source, injects the fault for some
time and ends it. Several faults may overlap, but those that stop or freeze a
host leave out hosts that are busy with another such fault, and do nothing if
no host may be chosen.
"""

import asyncio
import contextlib
import dataclasses

from tests.soak import proxy
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import settings

# How long a fault waits until a backend server is idle.
IDLE_WAIT_SECONDS = 2.0
# After this time a host has acknowledged all ends on a server.
ACKNOWLEDGE_SECONDS = 0.3
LONG_JOBS = 2
# Fields of rows that name no backend server to use; None leaves one out.
MALFORMED_FIELDS = (
    {"address": None},
    {"backend": "unknown"},
    {"born": None},
    {"born": "0"},
    {"room": 1},
    {"state": "unknown"},
    {"zone": None},
)


def _choose_host(cluster, random):
    idle = [
        each for each in cluster.hosts if each.is_running and not each.is_busy
    ]
    # At least one host has to stay unaffected.
    return random.choice(idle) if len(idle) > 1 else None


async def _restart(cluster, host, pause):
    await asyncio.sleep(pause)
    await host.start(cluster.seeds)


async def _with_host(cluster, random, inject):
    host = _choose_host(cluster, random)
    if host is None:
        return
    host.is_busy = True
    try:
        await inject(host)
    finally:
        host.is_busy = False


async def kill(cluster, random):
    """Kill a host and start it again."""

    async def inject(host):
        cluster.checker.record_contact_lost(host.name)
        await host.kill()
        await _restart(cluster, host, random.uniform(0.1, 2))
        cluster.checker.record_contact_regained(host.name)

    await _with_host(cluster, random, inject)


async def pause(cluster, random):
    """Freeze a host, mostly for longer than its leases of one second."""
    await _pause(cluster, random)


async def pause_and_reset(cluster, random):
    """Freeze a host, and reset its connections from callers meanwhile."""
    await _pause(cluster, random, resets_callers=True)


async def _pause(cluster, random, resets_callers=False):
    async def inject(host):
        cluster.checker.record_contact_lost(host.name)
        host.pause()
        if resets_callers:
            await asyncio.sleep(random.uniform(0, 0.5))
            for caller in cluster.callers:
                if caller.host is host:
                    await caller.reset_connections()
        await asyncio.sleep(random.uniform(0.3, 4))
        host.resume()
        cluster.checker.record_contact_regained(host.name)

    await _with_host(cluster, random, inject)


async def terminate(cluster, random):
    """Shut down a host gracefully and start it again."""

    async def inject(host):
        await host.terminate()
        await _restart(cluster, host, random.uniform(0.1, 1))

    await _with_host(cluster, random, inject)


async def roll(cluster, random):
    """Restart all hosts gracefully, one after the other.

    Hosts that are busy or down are skipped.
    """
    for host in list(cluster.hosts):
        if host.is_busy or not host.is_running:
            continue
        host.is_busy = True
        await host.terminate()
        await _restart(cluster, host, 0.1)
        host.is_busy = False
        await asyncio.sleep(random.uniform(0.2, 1))


async def reset_links(cluster, random):
    """Reset the incoming links of a host."""
    random.choice(cluster.hosts).link_proxy.reset()


async def silence_links(cluster, random):
    """Silence the open incoming links of a host; new links work."""
    random.choice(cluster.hosts).link_proxy.silence_open_connections()


async def _stall(cluster, random, target, name):
    """Stall one or both directions of a proxy."""
    cluster.checker.record_contact_lost(name)
    direction = random.choice(("up", "down", "both"))
    target.stalls_upstream = direction in ("up", "both")
    target.stalls_downstream = direction in ("down", "both")
    await asyncio.sleep(random.uniform(0.5, 4))
    target.clear_faults()
    cluster.checker.record_contact_regained(name)


async def cut_links(cluster, random):
    """Stall the incoming links of a host in one or both directions."""
    host = random.choice(cluster.hosts)
    await _stall(cluster, random, host.link_proxy, f"links of {host.name}")


async def cut_zones(cluster, random):
    """Block the links between hosts of different zones."""
    cluster.checker.record_contact_lost("zones")
    for host in cluster.hosts:
        host.link_proxy.blocked_sources = {
            other.link_proxy.address
            for other in cluster.hosts
            if other.zone != host.zone
        }
    await asyncio.sleep(random.uniform(0.5, 4))
    for host in cluster.hosts:
        host.link_proxy.clear_faults()
    cluster.checker.record_contact_regained("zones")


async def slow_links(cluster, random):
    """Delay all data on the incoming links of a host."""
    host = random.choice(cluster.hosts)
    host.link_proxy.delay = random.uniform(0.02, 0.4)
    await asyncio.sleep(random.uniform(1, 4))
    host.link_proxy.clear_faults()


async def cut_store(cluster, random):
    """Stall a host's store connections in one or both directions."""
    host = random.choice(cluster.hosts)
    await _stall(cluster, random, host.store_proxy, f"store of {host.name}")


async def silence_store(cluster, random):
    """Silence a host's open connections to the store."""
    random.choice(cluster.hosts).store_proxy.silence_open_connections()


async def store_down(cluster, random):
    """Make the store refuse requests or not answer them."""
    cluster.checker.record_contact_lost("store")
    if random.random() < 0.5:
        cluster.platform.status = random.choice((429, 503))
    else:
        cluster.platform.is_silent = True
    await asyncio.sleep(random.uniform(1, 5))
    cluster.platform.clear_faults()
    cluster.checker.record_contact_regained("store")


async def store_slow(cluster, random):
    """Make the store answer late and lose some answers."""
    cluster.checker.record_contact_lost("store")
    cluster.platform.delay = random.uniform(0.05, 0.6)
    cluster.platform.lost_share = random.choice((0, 0.3))
    await asyncio.sleep(random.uniform(1, 4))
    cluster.platform.clear_faults()
    cluster.checker.record_contact_regained("store")


async def store_forgets(cluster, random):
    """Make the store drop the history of its feeds."""
    cluster.platform.forget_history()


async def change_config(cluster, random):
    """Change the configuration one or more times."""
    for _ in range(random.randint(1, 4)):
        if cluster.platform.status is None:
            cluster.change_config()
        await asyncio.sleep(random.uniform(0.01, 0.5))


async def grow_config(cluster, random):
    """Add many routes to the configuration at once; remove them later."""
    if cluster.platform.status is None:
        cluster.change_config(bulk_routes=random.randint(1000, 2000))
    await asyncio.sleep(random.uniform(1, 4))
    if cluster.platform.status is None:
        cluster.change_config()


def _choose_server(cluster, random):
    names = [
        name
        for name, endpoint in cluster.endpoints.items()
        if endpoint.backend.is_up
        and endpoint.backend.report.advertised_state
        is model.AdvertisedState.READY
    ]
    return random.choice(names) if len(names) > 2 else None


async def crash_server(cluster, random):
    """Crash a backend server and restart it under the same id."""
    name = _choose_server(cluster, random)
    if name is not None:
        await _crash(cluster, name, random.uniform(0.05, 4))
        cluster.register(name)


async def _crash(cluster, name, downtime):
    backend = cluster.endpoints[name].backend
    cluster.timeline.run_due()
    backend.crash()
    cluster.server_proxies[name].reset()
    await asyncio.sleep(downtime)
    cluster.timeline.run_due()
    backend.restart()
    cluster.checker.record_restart(name)


async def restart_server(cluster, random):
    """Restart a backend server fast, mostly an idle one; its row lags.

    For the server to be idle, no jobs are submitted meanwhile.
    """
    name = _choose_server(cluster, random)
    if name is None or name in cluster.cut_off_from_store:
        return
    cluster.cut_off_from_store.add(name)
    backend = cluster.endpoints[name].backend
    downtime, lag = random.uniform(0.05, 1), random.uniform(0, 1)
    if random.random() < 0.7:
        cluster.is_quiet = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(IDLE_WAIT_SECONDS):
                while backend.runs:
                    await asyncio.sleep(0.01)
        await asyncio.sleep(ACKNOWLEDGE_SECONDS)
    if backend.is_up:
        await _crash(cluster, name, downtime)
    cluster.is_quiet = False
    await asyncio.sleep(lag)
    cluster.cut_off_from_store.remove(name)
    cluster.register(name)


async def unlist_server(cluster, random):
    """Expire or replace the row of a backend server that keeps running.

    It runs a long task if possible, and all calls to it may stall.
    """
    for _ in range(LONG_JOBS):
        cluster.load.submit(is_long=True)
    await asyncio.sleep(0.3)
    names = [
        name
        for name, endpoint in cluster.endpoints.items()
        if endpoint.backend.is_up and name not in cluster.cut_off_from_store
    ]
    with_long = [name for name in names if cluster.runs_long_task(name)]
    if len(names) <= 2:
        return
    name = random.choice(with_long or names)
    fields = random.choice(MALFORMED_FIELDS)
    if random.random() < 0.5:
        cluster.platform.remove("servers", name)
    else:
        cluster.register(name, **fields)
    cluster.cut_off_from_store.add(name)
    await asyncio.sleep(random.uniform(2, 5))
    if random.random() < 0.5:
        await _stall(cluster, random, cluster.server_proxies[name], name)
    await asyncio.sleep(random.uniform(1, 3))
    cluster.cut_off_from_store.remove(name)
    cluster.register(name)


async def cut_server(cluster, random):
    """Stall all connections of a backend server, which keeps running."""
    name = _choose_server(cluster, random)
    if name is not None:
        await _stall(cluster, random, cluster.server_proxies[name], name)


async def stall_paths(cluster, random):
    """Stall a part of the calls to a backend server for moments."""
    name = _choose_server(cluster, random)
    for _ in range(random.randint(1, 3) if name else 0):
        target = cluster.server_proxies[name]
        target.stalled_path = random.randrange(proxy.PATHS)
        await asyncio.sleep(random.uniform(0.2, 1.2))
        target.stalled_path = None
        await asyncio.sleep(random.uniform(0.05, 0.5))


async def silence_server(cluster, random):
    """Silence the open connections to a backend server."""
    name = _choose_server(cluster, random)
    if name is not None:
        cluster.server_proxies[name].silence_open_connections()


async def late_orders(cluster, random):
    """Make servers execute some orders late or lose their answers."""
    endpoints = random.sample(list(cluster.endpoints.values()), 3)
    for endpoint in endpoints:
        endpoint.late_share = random.choice((0.0, 0.1))
        endpoint.lost_share = 0.1
    await asyncio.sleep(random.uniform(1, 3))
    for endpoint in endpoints:
        endpoint.late_share = endpoint.lost_share = 0.0


async def bad_server(cluster, random):
    """Make a backend server fail all tasks, get stuck or slow down."""
    name = _choose_server(cluster, random)
    if name is None:
        return
    backend = cluster.endpoints[name].backend
    slowness = backend.slowness
    match random.choice(("fails", "stuck", "slow")):
        case "fails":
            backend.fails_all = True
        case "stuck":
            backend.is_stuck = True
        case _:
            backend.slowness = slowness * 6
    await asyncio.sleep(random.uniform(1, 4))
    backend.fails_all = backend.is_stuck = False
    backend.slowness = slowness


async def crashing_job(cluster, random):
    """Submit a job whose task crashes each server that starts it."""
    cluster.load.submit(is_long=True, crashes=True)


async def shrink_server(cluster, random):
    """Halve the capacity of a backend server for some seconds."""
    name = _choose_server(cluster, random)
    if name is None or name in cluster.cut_off_from_store | cluster.shrunk:
        return
    cluster.shrunk.add(name)
    capacity = cluster.endpoints[name].backend.report.capacity
    halved = model.Resources(
        capacity.processors // 2, capacity.memory, capacity.accelerators
    )
    cluster.resize_server(name, halved)
    await asyncio.sleep(random.uniform(4, 7))
    cluster.resize_server(name, capacity)
    cluster.shrunk.remove(name)


_FIRST = (
    kill,
    pause,
    terminate,
    roll,
    reset_links,
    silence_links,
    cut_links,
    cut_zones,
    slow_links,
    cut_store,
    silence_store,
    store_down,
    store_slow,
    store_forgets,
    change_config,
    crash_server,
    cut_server,
    silence_server,
    late_orders,
    bad_server,
)
_LATER = (pause_and_reset, restart_server, unlist_server, stall_paths)
_CRASHES = (crashing_job, shrink_server)
_LOAD = (grow_config,)
ALL = {
    fault.__name__: fault for fault in (*_FIRST, *_LATER, *_CRASHES, *_LOAD)
}
# Routine work of operators, which must not break a request.
PLANNED = ("terminate", "roll", "change_config")
# Earlier seeds draw from the first faults only, so that they still play the
# faults that they were kept for.
FIRST_SEED_WITH_LATER = 400
FIRST_SEED_WITH_CRASHES = 600
# From this seed on, the hosts' decisions under heavy load are enabled, too.
FIRST_SEED_WITH_LOAD = 700


def has_later(seed):
    """Return whether a seed draws from the later faults, too."""
    return seed >= FIRST_SEED_WITH_LATER


def dispatch_settings(seed):
    """Return the settings of dispatch with which the hosts start, as YAML."""
    if seed < FIRST_SEED_WITH_LOAD:
        return ""
    fields = dataclasses.fields(settings.DispatchSettings)
    return "{" + ", ".join(f"{each.name}: true" for each in fields) + "}"


def kinds(seed):
    """Return the names that a seed draws from.

    The first faults, the later ones and crashes are drawn equally often.
    """
    later = _LATER * (len(_FIRST) // len(_LATER)) if has_later(seed) else ()
    if seed >= FIRST_SEED_WITH_CRASHES:
        later += _CRASHES * (len(_FIRST) // len(_CRASHES))
    if seed >= FIRST_SEED_WITH_LOAD:
        later += _LOAD * (len(_FIRST) // 2)
    return [fault.__name__ for fault in (*_FIRST, *later)]
