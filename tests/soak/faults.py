"""Faults that a soak injects from outside the processes.

Each fault takes the cluster and a random source, injects the fault for some
time and ends it. Several faults may overlap, but those that stop or freeze a
host leave out hosts that are busy with another such fault, and do nothing if
no host may be chosen.
"""

import asyncio

from waxwingwalk.dispatch import model


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

    async def inject(host):
        cluster.checker.record_contact_lost(host.name)
        host.pause()
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
    if name is None:
        return
    endpoint = cluster.endpoints[name]
    cluster.timeline.run_due()
    endpoint.backend.crash()
    cluster.server_proxies[name].reset()
    await asyncio.sleep(random.uniform(0.05, 4))
    cluster.timeline.run_due()
    endpoint.backend.restart()
    cluster.checker.record_restart(name)
    cluster.register(name)


async def cut_server(cluster, random):
    """Stall all connections of a backend server, which keeps running."""
    name = _choose_server(cluster, random)
    if name is not None:
        await _stall(cluster, random, cluster.server_proxies[name], name)


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


ALL = {
    fault.__name__: fault
    for fault in (
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
}
# Routine work of operators, which must not break a request.
PLANNED = ("terminate", "roll", "change_config")
