"""What is logged of a streamed answer while it goes on."""

import asyncio

import pytest

from plantainway.requests import _chat


@pytest.mark.parametrize(
    'pieces_at, ends_at, logged',
    [
        ([], 0.05, []),
        ([], 0.2, [0]),
        ([0.05, 0.1, 0.15], 0.2, []),
        ([0.05], 0.25, [1]),
        ([0.15], 0.35, [0, 1]),
    ],
)
async def test_silent_stream_is_logged_once_a_silence(
    monkeypatch, pieces_at, ends_at, logged
):
    """With the position of the last piece that has arrived."""
    found = []
    monkeypatch.setattr(_chat, 'SILENCE_LOG_S', 0.1)
    monkeypatch.setattr(
        _chat.logs,
        'event',
        lambda name, _level, position, **inputs: found.append(position),
    )
    silence = _chat._SilenceLog(req='r')
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for number, at in enumerate(pieces_at, 1):
        await asyncio.sleep(began_at + at - loop.time())
        silence.restart(number)
    await asyncio.sleep(began_at + ends_at - loop.time())
    silence.stop()
    await asyncio.sleep(0.15)
    assert found == logged
