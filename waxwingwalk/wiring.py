"""Composition root: builds an entry process from its components."""

import dataclasses
import random
import socket
import uuid

import aiohttp
import structlog

from waxwingwalk.connections import guards
from waxwingwalk.connections import limits
from waxwingwalk.connections import refusals
from waxwingwalk.connections import sites
from waxwingwalk.core import clock
from waxwingwalk.core import identity
from waxwingwalk.core import reducer as core_reducer
from waxwingwalk.core import state as core_state
from waxwingwalk.entry import backend_client
from waxwingwalk.entry import callers_api
from waxwingwalk.entry import claims
from waxwingwalk.entry import config as entry_config
from waxwingwalk.entry import engine as entry_engine
from waxwingwalk.entry import forwarding
from waxwingwalk.entry import issued_keys
from waxwingwalk.entry import links
from waxwingwalk.entry import metrics
from waxwingwalk.entry import open_requests
from waxwingwalk.entry import operators_api
from waxwingwalk.entry import peers_api
from waxwingwalk.entry import server
from waxwingwalk.entry import settings_fetch
from waxwingwalk.entry import submission
from waxwingwalk.entry import traffic
from waxwingwalk.membership import ownership
from waxwingwalk.routing import admission
from waxwingwalk.routing import base
from waxwingwalk.routing import job_order
from waxwingwalk.routing import outliers
from waxwingwalk.routing import placement
from waxwingwalk.routing.slots import leases
from waxwingwalk.routing.slots import occupancy
from waxwingwalk.routing.slots import simple
from waxwingwalk.settings import adopted
from waxwingwalk.settings import global_settings
from waxwingwalk.settings import store as settings_store
from waxwingwalk.store import http as store_http

# Largest request body that the callers' and peers' listeners read, in bytes.
# The settings may set a lower limit.
BODY_LIMIT = 2**30
MEGABYTE = 2**20


class Policies:
    """Creates the policies that the settings name."""

    def job_order(self, name: global_settings.JobOrderName) -> base.JobOrder:
        names = global_settings.JobOrderName
        orders: dict[global_settings.JobOrderName, base.JobOrder] = {
            names.FIFO: job_order.FifoOrder(),
            names.DEADLINE: job_order.DeadlineOrder(),
            names.SHORTEST_REMAINING: job_order.ShortestRemainingOrder(),
        }
        return orders[name]

    def admission(self, name: global_settings.AdmissionName) -> base.Admission:
        if name is global_settings.AdmissionName.OPEN:
            return admission.OpenAdmission()
        return admission.DeadlineAdmission()

    def placement(
        self, name: global_settings.PlacementName, state: core_state.State
    ) -> base.Placement:
        names = global_settings.PlacementName
        match name:
            case names.RANDOM:
                return placement.RandomPlacement(state.random)
            case names.ROUND_ROBIN:
                return placement.RoundRobinPlacement()
            case names.LEAST_OUTSTANDING:
                return placement.LeastOutstandingPlacement(state.random)
            case _:
                return placement.LearnedPlacement(
                    state.estimator,
                    state.registry,
                    state.membership.live_addresses,
                )

    def slot_sharing(
        self, name: global_settings.SlotSharingName, state: core_state.State
    ) -> base.SlotSharing:
        names = global_settings.SlotSharingName
        address = state.process.address
        members = state.membership.live_addresses
        match name:
            case names.EQUAL_SHARE:
                return simple.EqualShareSlots(state.registry, address, members)
            case names.UNLIMITED:
                return simple.UnlimitedSlots(state.registry, address, members)
            case names.OCCUPANCY:
                return occupancy.OccupancySlots(
                    state.registry,
                    address,
                    members=members,
                    mean_run_time=state.estimator.mean_run_time,
                    generator=state.random,
                )
            case _:
                return leases.OwnerLeases(
                    state.registry,
                    address,
                    owner_of=lambda backend: ownership.owner_of(
                        backend.spec, state.membership
                    ),
                    members=members,
                    mean_run_time=state.estimator.mean_run_time,
                    linger=lambda: state.settings.process().slot_linger,
                )

    def outlier_detector(
        self, name: global_settings.OutlierDetectionName
    ) -> base.OutlierDetector:
        if name is global_settings.OutlierDetectionName.OFF:
            return outliers.NoDetection()
        return outliers.LikelihoodDetector()


@dataclasses.dataclass(frozen=True, slots=True)
class EntryProcess:
    """The components of an entry process that the daemon needs."""

    service: server.EntryService
    engine: entry_engine.Engine
    sent_traffic: traffic.Traffic
    callers_address: str
    operators_address: str
    peers_address: str


def build_reducer(
    process: identity.ProcessId,
    place: adopted.Place,
    time: clock.Clock,
    generator: random.Random,
) -> core_reducer.Reducer:
    """Return a reducer with an initial state."""
    state = core_state.State(process, place, Policies(), time.now(), generator)
    return core_reducer.Reducer(state)


def build_entry(
    config: entry_config.EntryConfig,
    secrets: entry_config.Secrets,
    logger: structlog.typing.FilteringBoundLogger,
    *,
    time: clock.Clock | None = None,
    delay: links.DelayFunction = links.no_delay,
) -> EntryProcess:
    """Return an entry process whose sockets listen but are not served yet."""
    time = time or clock.SystemClock()
    kinds = limits.Listener
    process_limits = limits.ProcessLimits.derive(
        config.limits.memory_mb * MEGABYTE, config.limits.descriptors
    )
    callers_socket, operators_socket, peers_socket = (
        sites.listen(
            listener.address, listener.port, kind, process_limits.backlog
        )
        for kind, listener in (
            (kinds.CALLERS, config.callers),
            (kinds.OPERATORS, config.operators),
            (kinds.PEERS, config.peers),
        )
    )
    process = identity.ProcessId(
        _bound_address(peers_socket), identity.new_incarnation(time.now())
    )
    place = adopted.Place(
        config.place.region,
        config.place.availability_zone,
        config.place.host_class,
    )
    generator = random.Random(process.incarnation)
    reducer = build_reducer(process, place, time, generator)
    options = reducer.state.settings.process()
    sent_traffic = traffic.Traffic()
    backends = backend_client.BackendClient(
        place.zone,
        process.incarnation,
        options.connection_freshness,
        sent_traffic,
    )
    engine = entry_engine.Engine(reducer, time, backends, logger)
    peer_links = links.PeerLinks(
        process,
        secrets.peers,
        engine.apply,
        engine.report_failure,
        sent_traffic,
        delay,
    )
    engine.peers = peer_links
    session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
    platform = store_http.HttpPlatform(config.platform.url, session)
    store = settings_store.SettingsStore(
        platform, time.now, lambda: uuid.uuid4().hex
    )
    unanswered = open_requests.OpenRequests(
        lambda: reducer.state.drain is not None
    )
    forwarder = forwarding.Forwarder(
        peer_links.session, sent_traffic, unanswered
    )
    issuer = issued_keys.KeyIssuer(process, secrets.peers)
    submissions = submission.Submissions(engine, issuer, forwarder)
    key_claims = claims.KeyClaims(
        platform,
        process,
        settle=submissions.settle_claim,
        has_ended_unstarted=submissions.has_ended_unstarted,
        now=time.now,
    )
    engine.claim = key_claims.claim
    engine.fetch_settings = settings_fetch.PeerSettingsFetcher(
        peer_links.session, engine.apply
    ).fetch
    exporter = metrics.MetricsExporter(reducer.state, sent_traffic)

    def request_limits() -> limits.RequestLimits:
        body_max = reducer.state.settings.process().body_max
        return limits.RequestLimits(body_bytes=body_max)

    guard = guards.Guard(
        limits.Ledger(process_limits),
        request_limits,
        time,
        refusals.Refusals(logger, exporter),
    )
    body_max = BODY_LIMIT
    callers = callers_api.CallersApi(
        engine, submissions, unanswered, secrets.callers
    )
    operators = operators_api.OperatorsApi(
        engine,
        store,
        exporter,
        unanswered,
        secrets.operators,
    )
    peers = peers_api.PeersApi(
        engine, submissions, peer_links, unanswered, secrets.peers
    )
    service = server.EntryService(
        engine,
        peer_links,
        unanswered,
        platform,
        store,
        config.seeds,
        [
            server.Listener(
                kinds.CALLERS, callers_socket, callers.application(body_max)
            ),
            server.Listener(
                kinds.OPERATORS, operators_socket, operators.application()
            ),
            server.Listener(
                kinds.PEERS, peers_socket, peers.application(body_max)
            ),
        ],
        guard,
        [backends.close, session.close],
    )
    return EntryProcess(
        service=service,
        engine=engine,
        sent_traffic=sent_traffic,
        callers_address=_bound_address(callers_socket),
        operators_address=_bound_address(operators_socket),
        peers_address=process.address,
    )


def _bound_address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"
