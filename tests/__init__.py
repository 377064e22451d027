"""Tests: one folder for each area."""
