"""Builds a dispatch host that runs on the users' platform."""

import datetime

from waxwingwalk.connections import limits
from waxwingwalk.core import clock
from waxwingwalk.dispatch import events
from waxwingwalk.host import config as host_config
from waxwingwalk.host import logs
from waxwingwalk.host import metrics
from waxwingwalk.host import service
from waxwingwalk.host import wiring
from waxwingwalk.platform import backends
from waxwingwalk.platform import callers
from waxwingwalk.platform import catalog
from waxwingwalk.platform import store as platform_store
from waxwingwalk.store import follower


def build(
    config: host_config.HostConfig,
    time: clock.Clock,
    log: logs.HostLog,
    reload: service.ConfigLoader,
) -> service.HostService:
    """Return the host, which does not listen yet."""
    host_metrics = metrics.HostMetrics()
    store = platform_store.PlatformStore(config.store, host_metrics, log)
    engine = wiring.build_engine(config, time, log, host_metrics)
    backend_decoder = catalog.BackendRowDecoder(log)
    catalog_decoder = catalog.CatalogDecoder(log)

    last_document: bytes | None = None

    def apply_operators_rows(rows: follower.TableRows) -> None:
        nonlocal last_document
        engine.apply(
            events.EvacuationsListed(
                catalog.evacuated_zones(rows), operators_follower.version
            )
        )
        row = rows.get(catalog.CONFIG_KEY)
        if row is None or row.value is None or row.value == last_document:
            return
        last_document = row.value
        engine.read_catalog(row.value.decode(errors="replace"))

    def apply_backend_rows(rows: follower.TableRows) -> None:
        reports = backend_decoder.decode(rows)
        version = backends_follower.version
        engine.apply(events.BackendsListed(reports, version))

    def backends_interval() -> datetime.timedelta:
        if engine.reducer.needs_recent_backends(engine.clock.now()):
            return catalog.BACKENDS_INTERVAL
        return catalog.BACKENDS_INTERVAL_IDLE

    operators_follower = follower.TableFollower(
        store, catalog.OPERATORS_TABLE, apply_operators_rows, log
    )
    backends_follower = follower.TableFollower(
        store,
        catalog.BACKENDS_TABLE,
        apply_backend_rows,
        log,
        interval=backends_interval,
    )
    api = callers.CallersApi(engine)
    return wiring.build_service(
        config,
        engine,
        store=store,
        backends=backends.PlatformBackends(host_metrics, time, log),
        catalogs=catalog_decoder,
        applications=[
            (limits.Listener.CALLERS, config.callers, api.application()),
            (limits.Listener.READINESS, config.readiness, api.readiness()),
        ],
        reload=reload,
        followers=[operators_follower, backends_follower],
    )
