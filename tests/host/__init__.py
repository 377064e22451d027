"""Tests of host."""
