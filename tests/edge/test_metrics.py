"""Tests of the gauges of models."""

import pytest

from plantainway.edge import _metrics

MODEL = {'busy': 2.5, 'groups': 5, 'base': 6}


@pytest.mark.parametrize(
    'groups, expected',
    [
        ({}, []),
        ({'llm': {'models': {}}}, []),  # not the leader
        ({'llm': {'models': {'m0': MODEL}}}, [2.5, 5, 6]),
    ],
)
def test_model_gauges(groups, expected):
    """A node that does not lead shows no old figures."""
    samples = [
        sample
        for family in _metrics._model_gauges(groups)
        for sample in family.samples
    ]
    assert [sample.value for sample in samples] == expected
    labels = {'service': 'llm', 'model': 'm0'}
    assert all(sample.labels == labels for sample in samples)
