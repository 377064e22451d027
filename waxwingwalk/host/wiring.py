"""The composition root of a dispatch host.

What speaks to the outside is passed in, so that the same host runs on the
users' platform and on stand-ins.
"""

from collections.abc import Sequence
from typing import Protocol

from aiohttp import web

from waxwingwalk.core import clock
from waxwingwalk.core import identity
from waxwingwalk.dispatch import model
from waxwingwalk.dispatch import reducer as dispatch_reducer
from waxwingwalk.host import config as host_config
from waxwingwalk.host import engine as host_engine
from waxwingwalk.host import links as host_links
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
    measured: metrics.HostMetrics,
) -> host_engine.Engine:
    """Return an engine with a fresh reducer, attached to nothing."""
    now = time.now()
    local_host = model.HostRecord(
        address=config.peer_address,
        incarnation=identity.new_incarnation(now),
        zone=config.zone,
        processors=config.processors,
    )
    reducer = dispatch_reducer.Reducer(local_host, now)
    return host_engine.Engine(reducer, time, log, measured)


class BackendsAndCloser(host_engine.BackendOrders, service.Closer, Protocol):
    """A client of backend servers that holds connections."""


class StoreAndCloser(service.MovableStore, service.Closer, Protocol):
    """A store client that holds connections."""


def build_service(
    config: host_config.HostConfig,
    engine: host_engine.Engine,
    *,
    store: StoreAndCloser,
    backends: BackendsAndCloser,
    catalogs: host_engine.CatalogDecoder,
    applications: Sequence[tuple[str, web.Application]],
    followers: Sequence[follower.TableFollower],
    reload: service.Reload,
) -> service.HostService:
    """Return the whole host, listening to nobody yet."""
    local_host = engine.reducer.local_host
    links = host_links.HostLinks(
        local_host, engine.apply, engine.log, engine.clock
    )
    registry = host_registry.HostRegistry(local_host, store, engine.log)
    engine.outside = host_engine.Outside(backends, links, registry, catalogs)
    peers = peers_api.PeersApi(engine, links)
    return service.HostService(
        config=config,
        engine=engine,
        links=links,
        registry=registry,
        store=store,
        callers_listeners=applications,
        listeners=[
            (config.peers, peers.application()),
            (config.metrics, peers.metrics_application()),
        ],
        followers=followers,
        closers=[backends, store],
        reload=reload,
    )
