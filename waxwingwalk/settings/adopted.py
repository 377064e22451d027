"""The settings revision that a process has adopted."""

import dataclasses
import functools
from typing import Any

import orjson
import pydantic

from waxwingwalk.settings import global_settings
from waxwingwalk.settings import tree as settings_tree


class Revision(pydantic.BaseModel):
    """One accepted revision: the whole tree, and the change that led to it.

    ``at`` is an ISO 8601 time; ``changes`` maps paths to new values.
    """

    model_config = pydantic.ConfigDict(frozen=True)

    number: int = pydantic.Field(ge=0)
    change_id: str = ""
    author: str = ""
    at: str = ""
    reason: str = ""
    changes: dict[str, Any] = {}
    tree: dict[str, Any] = {}

    def document(self, *, has_tree: bool = True) -> str:
        """Return the revision as JSON text."""
        content = self.model_dump(exclude=None if has_tree else {"tree"})
        return orjson.dumps(content, option=orjson.OPT_SORT_KEYS).decode()


EMPTY = Revision(number=0, author="waxwingwalk", reason="built in defaults")


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The location and class of a process's host, from its settings file."""

    region: str
    zone: str
    host_class: str


class AdoptedSettings:
    """The adopted revision and the options resolved from it.

    Only a revision with a higher number replaces the adopted one. Before the
    first is adopted, ``revision`` is None and the process accepts no jobs.
    """

    def __init__(self, place: Place) -> None:
        self._place = place
        self.revision: Revision | None = None
        self._resolve_cached = functools.cache(self._resolve)

    @property
    def number(self) -> int:
        """The number of the adopted revision, -1 if there is none."""
        return -1 if self.revision is None else self.revision.number

    @property
    def is_ready(self) -> bool:
        """Whether any revision has been adopted."""
        return self.revision is not None

    def adopt(self, revision: Revision) -> bool:
        """Adopt a revision if its number is higher; return whether it is."""
        if revision.number <= self.number:
            return False
        self.revision = revision
        self._resolve_cached.cache_clear()
        return True

    def process(self) -> global_settings.ProcessOptions:
        """Return the options of this process."""
        found = self._resolve_cached(
            global_settings.ProcessOptions, None, None
        )
        assert isinstance(found, global_settings.ProcessOptions)
        return found

    def service(self, name: str) -> global_settings.ServiceOptions:
        """Return the options of a service on this host."""
        found = self._resolve_cached(
            global_settings.ServiceOptions, name, None
        )
        assert isinstance(found, global_settings.ServiceOptions)
        return found

    def team(self, name: str) -> global_settings.TeamOptions:
        """Return the options of a team."""
        found = self._resolve_cached(global_settings.TeamOptions, None, name)
        assert isinstance(found, global_settings.TeamOptions)
        return found

    def context(
        self, service: str | None = None, team: str | None = None
    ) -> settings_tree.Context:
        """Return the context in which this process resolves settings."""
        return settings_tree.Context(
            region=self._place.region,
            service=service,
            host_class=self._place.host_class,
            availability_zone=self._place.zone,
            team=team,
        )

    def _resolve(
        self,
        model: type[pydantic.BaseModel],
        service: str | None,
        team: str | None,
    ) -> pydantic.BaseModel:
        tree = {} if self.revision is None else self.revision.tree
        return settings_tree.resolve(tree, self.context(service, team), model)
