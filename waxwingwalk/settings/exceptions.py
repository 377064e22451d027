"""What can be wrong with a settings tree or a change to it."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsError:
    """One fault in a settings tree, at a path such as ``defaults.weight``."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}"
