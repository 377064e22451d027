"""Scheduling of jobs on pools of backend servers.

Every decision is a pure function of state and event. The ``host`` package
carries out the effects.
"""
