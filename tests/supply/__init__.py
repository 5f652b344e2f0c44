"""Tests of plantainway.supply."""
