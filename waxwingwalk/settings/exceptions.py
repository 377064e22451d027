"""Errors in a settings tree or in a change to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """An error in a settings tree, at a path such as ``defaults.weight``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
