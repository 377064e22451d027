"""The settings tree: validation, inheritance and changes.

A tree has a mapping for each level::

    defaults: {slot_linger: 500 ms}
    regions: {wales: {drain_timeout: 2 min}}
    services: {refunds: {job_deadline: 10 s}}
    host_classes: {small: {queue_max_tasks: 5000}}
    availability_zones: {wales-1: {probe_interval: 2 s}}
    teams: {treasury: {weight: 2, quota: 64}}

A level overrides the levels above it in this list. Teams have settings of
their own, whose defaults are in ``defaults`` as well.
"""

import copy
import dataclasses
import difflib
import functools
from typing import Any
from typing import TypeVar

import pydantic
from returns import result

from waxwingwalk.settings import exceptions
from waxwingwalk.settings import global_settings

Tree = dict[str, Any]
OptionsModel = type[pydantic.BaseModel]
OptionsT = TypeVar("OptionsT", bound=pydantic.BaseModel)

DEFAULTS = "defaults"
_PROCESS = global_settings.ProcessOptions
_SERVICE = global_settings.ServiceOptions
_TEAM = global_settings.TeamOptions

# The models whose settings are allowed at each level.
LEVELS: dict[str, tuple[OptionsModel, ...]] = {
    DEFAULTS: (_PROCESS, _SERVICE, _TEAM),
    "regions": (_PROCESS, _SERVICE),
    "services": (_SERVICE,),
    "host_classes": (_PROCESS, _SERVICE),
    "availability_zones": (_PROCESS, _SERVICE),
    "teams": (_TEAM,),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """The names that select the levels of a lookup; None skips a level."""

    region: str | None = None
    service: str | None = None
    host_class: str | None = None
    availability_zone: str | None = None
    team: str | None = None

    def levels(self) -> list[tuple[str, str | None]]:
        """Return the levels and names, from the broadest to the narrowest."""
        return [
            ("regions", self.region),
            ("services", self.service),
            ("host_classes", self.host_class),
            ("availability_zones", self.availability_zone),
            ("teams", self.team),
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveValue:
    """A setting's value in a context and the path that defines it."""

    name: str
    value: Any
    origin: str


@functools.cache
def _fields(models: tuple[OptionsModel, ...]) -> dict[str, OptionsModel]:
    return {name: model for model in models for name in model.model_fields}


def _validate_options(
    path: str, options: Any, models: tuple[OptionsModel, ...]
) -> list[exceptions.SettingsError]:
    if not isinstance(options, dict):
        message = "must be a mapping of setting names to values"
        return [exceptions.SettingsError(path, message)]
    fields = _fields(models)
    errors = []
    for name, value in options.items():
        model = fields.get(name)
        if model is None:
            errors.append(_unknown_name(f"{path}.{name}", name, fields))
            continue
        errors.extend(_validate_value(f"{path}.{name}", name, value, model))
    return errors


def _unknown_name(
    path: str, name: str, known: Any
) -> exceptions.SettingsError:
    close = difflib.get_close_matches(str(name), list(known), n=1)
    hint = f"; did you mean '{close[0]}'?" if close else ""
    return exceptions.SettingsError(path, f"is not known here{hint}")


def _validate_value(
    path: str, name: str, value: Any, model: OptionsModel
) -> list[exceptions.SettingsError]:
    try:
        model.model_validate({name: value})
    except pydantic.ValidationError as error:
        return [
            exceptions.SettingsError(
                path, f"{fault['msg']}, got {fault['input']!r}"
            )
            for fault in error.errors()
        ]
    return []


def validate(tree: Any) -> list[exceptions.SettingsError]:
    """Return all errors of a tree; an empty list means it is valid."""
    if not isinstance(tree, dict):
        return [exceptions.SettingsError("", "must be a mapping of levels")]
    errors = []
    for level, content in tree.items():
        models = LEVELS.get(level)
        if models is None:
            errors.append(_unknown_name(str(level), level, LEVELS))
        elif level == DEFAULTS:
            errors.extend(_validate_options(level, content, models))
        elif not isinstance(content, dict):
            message = "must be a mapping of names to settings"
            errors.append(exceptions.SettingsError(level, message))
        else:
            for name, options in content.items():
                path = f"{level}.{name}"
                errors.extend(_validate_options(path, options, models))
    return errors


def _merge_levels(
    tree: Tree, context: Context, model: OptionsModel
) -> dict[str, tuple[Any, str]]:
    values = {}
    layers = [(DEFAULTS, tree.get(DEFAULTS, {}))]
    for level, name in context.levels():
        if name is not None:
            options = tree.get(level, {}).get(name, {})
            layers.append((f"{level}.{name}", options))
    for path, options in layers:
        for key, value in options.items():
            if key in model.model_fields:
                values[key] = (value, path)
    return values


def resolve(tree: Tree, context: Context, model: type[OptionsT]) -> OptionsT:
    """Return the options of one model that apply in a context."""
    merged = _merge_levels(tree, context, model)
    return model.model_validate(
        {name: value for name, (value, _) in merged.items()}
    )


def effective(tree: Tree, context: Context) -> list[EffectiveValue]:
    """Return every setting that applies in a context, with its origin."""
    values = []
    for model in (_PROCESS, _SERVICE, _TEAM):
        merged = _merge_levels(tree, context, model)
        for name, field in sorted(model.model_fields.items()):
            value, origin = merged.get(name, (field.default, "built in"))
            values.append(EffectiveValue(name, value, origin))
    return values


def flatten(tree: Tree) -> dict[str, Any]:
    """Return the tree as a mapping of dotted paths to values."""
    flat: dict[str, Any] = {}
    for level, content in tree.items():
        if level == DEFAULTS:
            for name, value in content.items():
                flat[f"{level}.{name}"] = value
            continue
        for member, options in content.items():
            for name, value in options.items():
                flat[f"{level}.{member}.{name}"] = value
    return flat


def diff(before: Tree, after: Tree) -> dict[str, tuple[Any, Any]]:
    """Return the paths that differ, each with its old and new value."""
    old = flatten(before)
    new = flatten(after)
    return {
        path: (old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    }


def apply_changes(
    tree: Tree, changes: dict[str, Any]
) -> result.Result[Tree, list[exceptions.SettingsError]]:
    """Return a valid tree with the changes applied, or all errors.

    ``changes`` maps paths to new values; None removes a setting::

        apply_changes(
            tree, {"teams.treasury.quota": 64, "defaults.weight": None}
        )
    """
    new = copy.deepcopy(tree)
    for path, value in changes.items():
        keys = _split_path(path)
        if keys is None:
            message = "is not a path such as 'services.refunds.job_order'"
            return result.Failure([exceptions.SettingsError(path, message)])
        _set_value(new, keys, value)
    errors = validate(new)
    if errors:
        return result.Failure(errors)
    return result.Success(new)


def _split_path(path: str) -> list[str] | None:
    level, _, rest = path.partition(".")
    if level == DEFAULTS and rest:
        return [level, rest]
    member, _, name = rest.rpartition(".")
    if level and member and name:
        return [level, member, name]
    return None


def _set_value(tree: Tree, keys: list[str], value: Any) -> None:
    *parents, name = keys
    node = tree
    for key in parents:
        node = node.setdefault(key, {})
    if value is None:
        node.pop(name, None)
    else:
        node[name] = value
    if not node and len(parents) > 1:
        del tree[parents[0]][parents[1]]
