"""Tests of plantainway.platform."""
