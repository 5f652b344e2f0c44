"""Tests of the evidence and the promises."""
