"""Counts of sent messages, for metrics and benchmarks."""

import collections


class Traffic:
    """Counts of messages and bytes that this process sent, by kind."""

    def __init__(self) -> None:
        self.messages: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()

    def count(self, kind: str, size: int = 0) -> None:
        """Count one message of the given size in bytes."""
        self.messages[kind] += 1
        self.sent_bytes[kind] += size
