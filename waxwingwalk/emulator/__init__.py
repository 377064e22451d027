"""Emulation of a whole fleet in one process on a simulated clock.

Runs the real dispatch reducers against emulated backend servers, links and
store, and checks the guarantees at every step. All random choices come from a
seed, so that a failure can be reproduced.
"""
