"""A whole fleet in one process on a simulated clock.

It runs the real dispatch reducers against emulated backend servers, links
and store, and a judge that checks the promises at every step. Seeded, so that
a failure is found again.
"""
