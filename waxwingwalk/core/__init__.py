"""The reducer and everything it is made of.

Nothing in this package performs I/O, reads a clock or imports asyncio: time
arrives with each event, and what has to happen leaves as effects.
"""
