"""Tests of the selection of log lines for one request."""

import pytest

from plantainway import cli
from plantainway import explain

LOG = """\
time=t1 level=info event=form group=g1 epoch=1 members=e1,e2
time=t1 level=info event=form group=g2 epoch=2 members=e3,e4
time=t2 level=info event=attempt_failed request=r1 upstream=e1 group=g1 \
end=stalled reason="no event, for long"
time=t3 level=info event=engine_lost upstream=e1 reason=TimeoutError()
time=t3 level=info event=engine_lost upstream=e9 reason=TimeoutError()
time=t4 level=info event=disband group=g1 reason="lost e1"
time=t5 level=info event=request_ended request=r2 end=served
time=t6 level=info event=request_ended request=r1 end=failed status=502
time=t7 level=info event=disband group=g1 reason=later
  4.25 node-1 time=t0 level=info event=leadership_taken term=1
no event at all
"""


def _lines(text=LOG):
    parsed = (explain.parse('n1', line) for line in text.splitlines())
    return [line for line in parsed if line is not None]


def test_related_lines_are_sorted_by_time():
    """Includes the lines of its group and upstream, up to its end."""
    found = explain.explain('r1', _lines())
    assert [(line.time, line.event) for line in found] == [
        ('t0', 'leadership_taken'),
        ('t1', 'form'),
        ('t2', 'attempt_failed'),
        ('t3', 'engine_lost'),
        ('t4', 'disband'),
        ('t6', 'request_ended'),
    ]
    assert found[2].pairs['reason'] == 'no event, for long'


@pytest.mark.parametrize('request_id', ['r9', ''])
def test_unknown_request_has_no_lines(request_id):
    """A request id that is in no line selects no lines."""
    assert explain.explain(request_id, _lines()) == []


@pytest.mark.parametrize(
    'request_id, status, shown',
    [('r1', 0, 'disband'), ('r9', 1, '')],
)
def test_explain_command(tmp_path, capsys, request_id, status, shown):
    """The command reads files; status 1 if no line matches the request."""
    path = tmp_path / 'n1.log'
    path.write_text(LOG)
    assert cli.main(['explain', request_id, str(path)]) == status
    assert shown in capsys.readouterr().out


def test_missing_file_is_a_usage_error(capsys):
    """The error names the file that can't be read."""
    assert cli.main(['explain', 'r1', '/nonexistent/n1.log']) == 2
    assert 'n1.log' in capsys.readouterr().err
