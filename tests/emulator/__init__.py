"""Tests of emulator."""
