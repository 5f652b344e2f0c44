"""HTTP client sessions that never repeat a request, and what they accept."""

from plantainway.sessions._connections import Connector
from plantainway.sessions._connections import ResponseHandler
from plantainway.sessions._responses import INTERIM_RESPONSES_MAX
from plantainway.sessions._responses import InvalidResponseError
from plantainway.sessions._responses import ResponseNormalizer
from plantainway.sessions._sessions import new_session
from plantainway.sessions._sessions import read_body
