"""The reducer of an entry process, its state, events and effects.

Nothing in this package performs I/O or imports asyncio, and handlers read no
clock: the time is passed in with each event, and the required I/O is returned
as effects.
"""
