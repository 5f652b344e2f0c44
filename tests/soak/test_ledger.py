"""Each promise that the soak checks is found broken when it is."""

import dataclasses

import pytest

from tests.soak import ledger


@dataclasses.dataclass
class _Got:
    status: int
    body: bytes = b''
    headers: dict = dataclasses.field(default_factory=dict)
    is_whole: bool = True


def _two_runs(book):
    book.note_single('t1')
    book.note_run('t1')
    book.note_run('t1')


def _false_refusal(book):
    book.note_run('t1')
    book.note_answer('t1', _Got(503, headers={'Not-Executed': '1'}), b'')


def _older_version(book):
    book.note_version('n1', 5, 0)
    book.note_version('n1', 4, 5)


def _short_group(book):
    book.note_ready('e1', 'g1', 1)
    book.note_group_run(['e1'], 'g1', 1, 2)


def _member_never_ready(book):
    book.note_ready('e1', 'g1', 1)
    book.note_ready('e2', 'g1', 2)
    book.note_group_run(['e1', 'e2'], 'g1', 1, 2)


@pytest.mark.parametrize(
    'promise, breach',
    [
        ('whole', lambda b: b.note_answer('t', _Got(200, b'a'), b'ab')),
        (
            'own answer',
            lambda b: b.note_answer(
                't', _Got(200, b'x', is_whole=False), b'ab'
            ),
        ),
        ('at most once', _two_runs),
        ('true refusal', _false_refusal),
        ('newest configuration', _older_version),
        ('whole group', _short_group),
        ('whole group', _member_never_ready),
        ('one group', lambda b: b.note_join('e1', True)),
        ('leaves in time', lambda b: b.note_stop('n1', 5.1, 5.0)),
        ('serves again', lambda b: b.note_recovery('safe', False)),
    ],
)
def test_breach_is_found(promise, breach):
    """One planted breach, one finding."""
    book = ledger.Ledger()
    breach(book)
    assert [found.promise for found in book.finish()] == [promise]


def test_what_is_allowed_is_no_breach():
    """Cut answers, refusals, repeats of safe requests, concurrent reads."""
    book = ledger.Ledger()
    book.note_answer('t1', _Got(200, b'ab'), b'ab')
    book.note_answer('t2', _Got(200, b'a', is_whole=False), b'ab')
    book.note_answer('t3', _Got(503, headers={'Not-Executed': '1'}), b'')
    book.note_run('t4')
    book.note_run('t4')
    book.note_version('n1', 5, 0)
    book.note_version('n1', 4, 0)  # was sent before the newer one came
    for name in ('e1', 'e2'):
        book.note_ready(name, 'g1', 1)
    book.note_group_run(['e1', 'e2'], 'g1', 1, 2)
    book.note_join('e1', False)
    book.note_stop('n1', 4.9, 5.0)
    book.note_recovery('safe', True)
    assert book.finish() == []
