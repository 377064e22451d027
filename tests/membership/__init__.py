"""Tests of waxwingwalk.membership."""
