"""Fixtures shared by the tests."""

import pytest

from plantainway import logs
from plantainway import sessions
from plantainway import standins
from plantainway import stores

logs.configure('ERROR')


@pytest.fixture
async def session():
    """A client session."""
    async with sessions.new_session() as opened:
        yield opened


@pytest.fixture
async def platform_server():
    """A running stand-in of the platform."""
    server = standins.PlatformStandIn()
    await server.start()
    yield server
    await server.stop()


class TableUnderTest:
    """A table and the switches of the service behind it."""

    def __init__(self, table, faults):
        self.table = table
        self.faults = faults


def _memory_table(server, session):
    return TableUnderTest(server.table, server.table.faults)


def _http_table(server, session):
    table = stores.HttpTable(server.url, session)
    return TableUnderTest(table, server.table.faults)


TABLES = {'memory': _memory_table, 'http': _http_table}


@pytest.fixture(params=sorted(TABLES))
def any_table(request, platform_server, session):
    """Each implementation of the table in turn."""
    return TABLES[request.param](platform_server, session)
