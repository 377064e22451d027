"""The adapter to the users' platform; it translates messages both ways.

No code outside this package uses the platform's names.
"""
