"""Tests of plantainway.traffic."""
