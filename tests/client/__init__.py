"""Tests of client."""
