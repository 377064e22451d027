"""Soak tests: real dispatch host processes with faults injected from outside.

::

    python -m tests.soak --seeds 400-449
"""
