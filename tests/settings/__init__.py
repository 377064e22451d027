"""Tests of waxwingwalk.settings."""
