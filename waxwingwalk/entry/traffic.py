"""Counts of messages by kind, for metrics and benchmarks."""

import collections


class Traffic:
    """Messages and bytes that this process sent, by kind."""

    def __init__(self) -> None:
        self.messages: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()

    def count(self, kind: str, size: int = 0) -> None:
        """Count one message and its size in bytes."""
        self.messages[kind] += 1
        self.sent_bytes[kind] += size
