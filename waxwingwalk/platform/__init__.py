"""The adapter to the users' platform: its messages into ours and back.

Nothing outside this package knows the platform's names.
"""
