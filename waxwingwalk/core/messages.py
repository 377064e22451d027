"""Messages between entry processes.

They travel as JSON over a WebSocket between two peers, each with a ``kind``.
Slot messages state totals rather than differences wherever a repeated or
lost message would otherwise matter.
"""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic


@dataclasses.dataclass(slots=True)
class MemberRecord:
    """What is said of one member; ``state`` is live, leaving or gone."""

    address: str
    incarnation: str
    zone: str
    region: str
    state: str
    version: int


@dataclasses.dataclass(slots=True)
class Probe:
    """Ask a peer whether it is there; carries recent membership changes.

    ``free`` gives free slots by backend server, ``running`` the mean number
    of running tasks by service, each where the slot sharing uses it.
    """

    sender: MemberRecord
    changes: list[MemberRecord]
    revision: int
    free: dict[str, int]
    is_reply: bool = False
    running: dict[str, float] = dataclasses.field(default_factory=dict)
    kind: Literal["probe"] = "probe"


@dataclasses.dataclass(slots=True)
class SlotRequest:
    """The holder's unmet demand for a service at this owner.

    ``teams`` gives the teams that wait, with their weights.
    """

    service: str
    want: int
    serial: int
    teams: dict[str, float]
    kind: Literal["slot_request"] = "slot_request"


@dataclasses.dataclass(slots=True)
class SlotGrant:
    """Slots given to the holder, by backend server.

    ``serial`` is that of the newest request which the owner has seen.
    """

    service: str
    slots: dict[str, int]
    serial: int
    free: dict[str, int]
    kind: Literal["slot_grant"] = "slot_grant"


@dataclasses.dataclass(slots=True)
class SlotReturn:
    """Slots that the holder gives back, by backend server."""

    slots: dict[str, int]
    kind: Literal["slot_return"] = "slot_return"


@dataclasses.dataclass(slots=True)
class SlotRecall:
    """Slots that the owner wants back as they become idle."""

    slots: dict[str, int]
    kind: Literal["slot_recall"] = "slot_recall"


@dataclasses.dataclass(slots=True)
class SlotReport:
    """All that the holder holds of the receiver's backend servers."""

    slots: dict[str, int]
    kind: Literal["slot_report"] = "slot_report"


@dataclasses.dataclass(slots=True)
class BackendNotice:
    """News of a backend server: leaving, suspect or set aside.

    ``seconds`` is for how long the news holds, where it does not hold for
    good.
    """

    backend_id: str
    incarnation: str
    state: str
    seconds: float = 0.0
    kind: Literal["backend_notice"] = "backend_notice"


@dataclasses.dataclass(slots=True)
class SettingsNotice:
    """A settings revision that the store has accepted, without its tree.

    A receiver that has the revision before it makes the tree itself; any
    other fetches the revision whole.
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
