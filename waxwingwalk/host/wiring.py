"""The composition root of a dispatch host.

The clients of external services are passed in, so that the same host runs on
the users' platform and on fakes of it.
"""

from collections.abc import Sequence
from typing import Protocol

from aiohttp import web

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.connections import refusals
from waxwingwalk.core import clock
from waxwingwalk.core import identity
from waxwingwalk.dispatch import evacuation
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.dispatch import settings as dispatch_settings
from waxwingwalk.host import config as host_config
from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links
from waxwingwalk.host import listeners
from waxwingwalk.host import logs
from waxwingwalk.host import metrics
from waxwingwalk.host import peers_api
from waxwingwalk.host import registry as host_registry
from waxwingwalk.host import service
from waxwingwalk.store import follower


def build_engine(
    config: host_config.HostConfig,
    time: clock.Clock,
    log: logs.HostLog,
    host_metrics: metrics.HostMetrics,
) -> host_engine.Engine:
    """Return an engine with a new reducer and no adapters."""
    now = time.now()
    process_limits = limits.ProcessLimits.derive(
        config.memory, config.descriptors
    )
    local_host = model.HostRecord(
        address=config.peer_address,
        incarnation=identity.new_incarnation(now),
        zone=config.zone,
        processors=config.processors,
    )
    reducer = dispatch_reducer.Reducer(
        local_host,
        now,
        settings=config.dispatch,
        work_limits=dispatch_settings.WorkLimits(
            tasks=process_limits.tasks, starts=process_limits.starts
        ),
        zone_evacuation=evacuation.Evacuation(now + evacuation.LEARN_LIMIT),
    )
    return host_engine.Engine(reducer, time, log, host_metrics)


class ClosableBackendClient(
    host_engine.BackendClient, service.Closable, Protocol
):
    """A client of backend servers that holds connections."""


class ClosableStore(service.RelocatableStore, service.Closable, Protocol):
    """A store client that holds connections."""


def build_guard(
    config: host_config.HostConfig, engine: host_engine.Engine
) -> guards.Guard:
    """Return the guard of all connections of clients to the process."""
    ledger = limits.Ledger(
        limits.ProcessLimits.derive(config.memory, config.descriptors)
    )
    engine.metrics.observe_connections(ledger)

    def request_limits() -> limits.RequestLimits:
        catalog = engine.reducer.catalog
        return limits.RequestLimits() if catalog is None else catalog.limits

    return guards.Guard(
        ledger,
        request_limits,
        engine.clock,
        refusals.Refusals(engine.log, engine.metrics),
    )


def build_service(
    config: host_config.HostConfig,
    engine: host_engine.Engine,
    *,
    store: ClosableStore,
    backends: ClosableBackendClient,
    catalogs: host_engine.CatalogDecoder,
    applications: Sequence[tuple[limits.Listener, str, web.Application]],
    followers: Sequence[follower.TableFollower],
    reload: service.ConfigLoader,
) -> service.HostService:
    """Return the complete host, which does not listen yet."""
    local_host = engine.reducer.local_host
    guard = build_guard(config, engine)
    links = host_links.HostLinks(
        local_host, engine.apply, engine.log, engine.clock, engine.metrics
    )
    kinds = limits.Listener
    registry = host_registry.HostRegistry(local_host, store, engine.log)
    engine.adapters = host_engine.Adapters(backends, links, registry, catalogs)
    peers = peers_api.PeersApi(engine, links)
    return service.HostService(
        config=config,
        engine=engine,
        links=links,
        registry=registry,
        store=store,
        guard=guard,
        callers_listeners=[
            listeners.Listener(address, app, guard, kind)
            for kind, address, app in applications
        ],
        listeners=[
            listeners.Listener(address, app, guard, kind)
            for kind, address, app in (
                (kinds.PEERS, config.peers, peers.application()),
                (kinds.METRICS, config.metrics, peers.metrics_application()),
            )
        ],
        followers=followers,
        closables=[backends, store],
        reload=reload,
    )
