"""Scheduling of jobs on pools of backend servers.

Decisions depend only on the state, the event and the time that is passed with
it. This package does no I/O: the ``host`` package carries out the effects.
"""
