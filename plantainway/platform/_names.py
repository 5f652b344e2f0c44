"""Header names, paths and words of the users' platform."""

ACCOUNT = 'Tenant'
AT_FAULT = 'At-Server'
DEADLINE = 'Deadline-Ms'
EXPECT_UPSTREAM = 'Expect-Instance'
KEY = 'Credential'
LAST_EVENT = 'Last-Event-Id'
LENGTH_HINT = 'Length-Hint'
MODEL = 'Model'
NOT_RUN = 'Not-Executed'
PRIORITY = 'Request-Priority'
REQUEST_ID = 'Request-Id'
RETRY_AFTER = 'Retry-After'
SIGNATURE = 'Server-Stamp'
TOKENS = 'Token-Count'

# Environment variable with the path of a node's settings.
SETTINGS_VARIABLE = 'PLANTAINWAY_SETTINGS'

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
UPSTREAM_TABLE = 'servers'

FEED_PATH = '/plantainway/rows-feed'
GET_PATH = '/plantainway/rows-get'
ORDER_PATH = '/plantainway/order'
READY_PATH = '/plantainway/readyz'
REPORT_PATH = '/plantainway/report'
RESOLVE_PATH = '/plantainway/resolution'
TX_PATH = '/plantainway/rows-tx'

# Headers that concern one connection only and are not passed on.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
