"""Faults that a soak injects from outside the processes.

Each takes the site and a random source, harms something for a while, and
ends the harm. Several may be under way at a time; one that finds its target
busy with another does nothing.
"""

import asyncio

from waxwingwalk.dispatch import model


def _some_host(site, random):
    idle = [
        each for each in site.hosts if each.is_running and not each.is_busy
    ]
    # One host at least stays as it is.
    return random.choice(idle) if len(idle) > 1 else None


async def _restart(site, host, pause):
    await asyncio.sleep(pause)
    await host.start(site.seeds)


async def _with_host(site, random, harm):
    host = _some_host(site, random)
    if host is None:
        return
    host.is_busy = True
    try:
        await harm(host)
    finally:
        host.is_busy = False


async def kill(site, random):
    """Kill a host; it starts again."""

    async def harm(host):
        site.checker.record_contact_lost(host.name)
        await host.kill()
        await _restart(site, host, random.uniform(0.1, 2))
        site.checker.record_contact_regained(host.name)

    await _with_host(site, random, harm)


async def pause(site, random):
    """Freeze a host for longer than its leases last."""

    async def harm(host):
        site.checker.record_contact_lost(host.name)
        host.pause()
        await asyncio.sleep(random.uniform(0.3, 4))
        host.resume()
        site.checker.record_contact_regained(host.name)

    await _with_host(site, random, harm)


async def terminate(site, random):
    """Stop a host in order; it starts again."""

    async def harm(host):
        await host.terminate()
        await _restart(site, host, random.uniform(0.1, 1))

    await _with_host(site, random, harm)


async def roll(site, random):
    """Stop all hosts in order, one after the other."""
    for host in list(site.hosts):
        if host.is_busy or not host.is_running:
            continue
        host.is_busy = True
        await host.terminate()
        await _restart(site, host, 0.1)
        host.is_busy = False
        await asyncio.sleep(random.uniform(0.2, 1))


async def reset_links(site, random):
    """Reset the links that were opened to a host."""
    random.choice(site.hosts).links.reset()


async def silence_links(site, random):
    """Have open links deliver nothing more, while new ones work."""
    random.choice(site.hosts).links.silence_open_connections()


async def _hold(site, random, target, name):
    """Hold up one direction of a proxy or both."""
    site.checker.record_contact_lost(name)
    which = random.choice(("up", "down", "both"))
    target.holds_up = which in ("up", "both")
    target.holds_down = which in ("down", "both")
    await asyncio.sleep(random.uniform(0.5, 4))
    target.heal()
    site.checker.record_contact_regained(name)


async def cut_links(site, random):
    """Cut a host's incoming links, one way or both."""
    host = random.choice(site.hosts)
    await _hold(site, random, host.links, f"links of {host.name}")


async def cut_zones(site, random):
    """Cut the hosts of two zones off from each other."""
    site.checker.record_contact_lost("zones")
    for host in site.hosts:
        host.links.cut_sources = {
            other.links.address
            for other in site.hosts
            if other.zone != host.zone
        }
    await asyncio.sleep(random.uniform(0.5, 4))
    for host in site.hosts:
        host.links.heal()
    site.checker.record_contact_regained("zones")


async def slow_links(site, random):
    """Delay everything on a host's links."""
    host = random.choice(site.hosts)
    host.links.delay = random.uniform(0.02, 0.4)
    await asyncio.sleep(random.uniform(1, 4))
    host.links.heal()


async def cut_store(site, random):
    """Cut a host off from the store, one way or both."""
    host = random.choice(site.hosts)
    await _hold(site, random, host.store, f"store of {host.name}")


async def silence_store(site, random):
    """Have a host's open connections to the store fall silent."""
    random.choice(site.hosts).store.silence_open_connections()


async def store_down(site, random):
    """Have the store refuse, or not answer."""
    site.checker.record_contact_lost("store")
    if random.random() < 0.5:
        site.platform.status = random.choice((429, 503))
    else:
        site.platform.is_silent = True
    await asyncio.sleep(random.uniform(1, 5))
    site.platform.heal()
    site.checker.record_contact_regained("store")


async def store_slow(site, random):
    """Have the store answer late, and lose some answers."""
    site.checker.record_contact_lost("store")
    site.platform.delay = random.uniform(0.05, 0.6)
    site.platform.lost_share = random.choice((0, 0.3))
    await asyncio.sleep(random.uniform(1, 4))
    site.platform.heal()
    site.checker.record_contact_regained("store")


async def store_forgets(site, random):
    """Have the store drop its history."""
    site.platform.forget_history()


async def change_config(site, random):
    """Change the configuration, some times in a row."""
    for _ in range(random.randint(1, 4)):
        if site.platform.status is None:
            site.change_config()
        await asyncio.sleep(random.uniform(0.01, 0.5))


def _some_server(site, random):
    names = [
        name
        for name, door in site.doors.items()
        if door.backend.is_up
        and door.backend.report.advertised_state is model.AdvertisedState.READY
    ]
    return random.choice(names) if len(names) > 2 else None


async def crash_server(site, random):
    """Crash a server; it is born again under its id."""
    name = _some_server(site, random)
    if name is None:
        return
    door = site.doors[name]
    site.timeline.catch_up()
    door.backend.crash()
    site.proxies[name].reset()
    await asyncio.sleep(random.uniform(0.05, 4))
    site.timeline.catch_up()
    door.backend.restart()
    site.checker.record_restart(name)
    site.register(name)


async def cut_server(site, random):
    """Cut a server off from all hosts; it runs on."""
    name = _some_server(site, random)
    if name is not None:
        await _hold(site, random, site.proxies[name], name)


async def silence_server(site, random):
    """Have open connections to a server fall silent."""
    name = _some_server(site, random)
    if name is not None:
        site.proxies[name].silence_open_connections()


async def late_orders(site, random):
    """Have servers carry some orders out late, or lose their answers."""
    doors = random.sample(list(site.doors.values()), 3)
    for door in doors:
        door.late_share = random.choice((0.0, 0.1))
        door.lost_share = 0.1
    await asyncio.sleep(random.uniform(1, 3))
    for door in doors:
        door.late_share = door.lost_share = 0.0


async def bad_server(site, random):
    """Have a server fail everything, stand still or turn slow."""
    name = _some_server(site, random)
    if name is None:
        return
    backend = site.doors[name].backend
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
# What operators do on an ordinary day.
PLANNED = ("terminate", "roll", "change_config")
