"""Messages between entry processes.

They are sent as JSON over a WebSocket between two peers; ``kind`` names the
type. Slot requests, recalls and reports carry totals rather than differences,
so that a repeated or lost one does not corrupt the counts. Grants and returns
carry differences; the report sent on a new link corrects the counts. Numbers
out of range make a message malformed.
"""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

# The largest number of slots, tasks or the like in one member of a message.
COUNT_MAX = 1_000_000
# The longest time that a notice may keep a backend server out of use.
NOTICE_SECONDS_MAX = 3600.0

Count = Annotated[int, pydantic.Field(ge=0, le=COUNT_MAX)]
Load = Annotated[float, pydantic.Field(ge=0, le=COUNT_MAX)]
Weight = Annotated[float, pydantic.Field(gt=0, le=COUNT_MAX)]
NoticeSeconds = Annotated[float, pydantic.Field(ge=0, le=NOTICE_SECONDS_MAX)]


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """The state of one member; ``state`` is live, leaving or gone."""

    address: str
    incarnation: str
    zone: str
    region: str
    state: str
    version: int


@dataclasses.dataclass(slots=True)
class Probe:
    """Check that a peer is alive; carries recent membership changes.

    ``free`` maps backend servers to free slots; ``running`` maps services to
    the mean number of the sender's tasks that run on servers offering the
    service. Each is empty unless the slot sharing policy uses it.
    """

    sender: MemberRecord
    changes: list[MemberRecord]
    revision: int
    free: dict[str, Count]
    is_reply: bool = False
    running: dict[str, Load] = dataclasses.field(default_factory=dict)
    kind: Literal["probe"] = "probe"


@dataclasses.dataclass(slots=True)
class SlotRequest:
    """The holder's unmet demand for a service, sent to an owner of slots.

    ``teams`` maps the waiting teams to their weights.
    """

    service: str
    want: Count
    serial: int
    teams: dict[str, Weight]
    kind: Literal["slot_request"] = "slot_request"


@dataclasses.dataclass(slots=True)
class SlotGrant:
    """Slots granted to the holder, by backend server.

    ``serial`` is that of the newest request that the owner has received.
    """

    service: str
    slots: dict[str, Count]
    serial: int
    free: dict[str, Count]
    kind: Literal["slot_grant"] = "slot_grant"


@dataclasses.dataclass(slots=True)
class SlotReturn:
    """Slots that the holder returns, by backend server."""

    slots: dict[str, Count]
    kind: Literal["slot_return"] = "slot_return"


@dataclasses.dataclass(slots=True)
class SlotRecall:
    """Slots that the holder must return as they become idle."""

    slots: dict[str, Count]
    kind: Literal["slot_recall"] = "slot_recall"


@dataclasses.dataclass(slots=True)
class SlotReport:
    """All slots that the holder has of the receiver's backend servers."""

    slots: dict[str, Count]
    kind: Literal["slot_report"] = "slot_report"


@dataclasses.dataclass(slots=True)
class BackendNotice:
    """The changed state of a backend server: leaving, suspect or ejected.

    ``seconds`` is the duration of a state that ends by itself.
    """

    backend_id: str
    incarnation: str
    state: str
    seconds: NoticeSeconds = 0.0
    kind: Literal["backend_notice"] = "backend_notice"


@dataclasses.dataclass(slots=True)
class SettingsNotice:
    """A settings revision that the store has accepted, without its tree.

    A receiver that has adopted the preceding revision builds the tree from
    it; any other receiver fetches the complete revision.
    """

    revision: int
    document: str
    kind: Literal["settings"] = "settings"


Message = (
    Probe
    | SlotRequest
    | SlotGrant
    | SlotReturn
    | SlotRecall
    | SlotReport
    | BackendNotice
    | SettingsNotice
)

decoder: pydantic.TypeAdapter[Message] = pydantic.TypeAdapter(
    Annotated[Message, pydantic.Field(discriminator="kind")]
)
