"""Header names, paths and table names of the users' platform."""

ACCOUNT = 'Tenant'
FAILED_UPSTREAM = 'At-Server'
DEADLINE_MS = 'Deadline-Ms'
EXPECT_UPSTREAM = 'Expect-Instance'
API_KEY = 'Credential'
COLD_MS = 'Cold-Ms'
LAST_EVENT_ID = 'Last-Event-Id'
LENGTH_HINT = 'Length-Hint'
MODEL = 'Model'
NOT_EXECUTED = 'Not-Executed'
PRIORITY = 'Request-Priority'
PROMPT_PARTS = 'Prefix-Hash'
RATE_LIMIT = 'Server-Limit'
REQUEST_ID = 'Request-Id'
RETRY_AFTER = 'Retry-After'
SERVER_LEAVING = 'Server-Leaving'
SERVER_STAMP = 'Server-Stamp'
STORE_ERA = 'Store-Era'
TOKEN_COUNT = 'Token-Count'

# Between nodes: how often a relayed request may run, and the version of the
# configuration that the node has to know.
RELAYED_RUNS = 'Plantainway-Runs'
RELAYED_CONFIGURATION = 'Plantainway-Configuration'

# Environment variable with the path of the node's settings file.
SETTINGS_VARIABLE = 'PLANTAINWAY_SETTINGS'

CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'
# Of the rows of the same table that ask to evacuate a failure domain.
EVACUATION_PREFIX = 'evacuate/'
UPSTREAM_TABLE = 'servers'

FEED_PATH = '/plantainway/rows-feed'
GET_PATH = '/plantainway/rows-get'
ORDER_PATH = '/plantainway/order'
READY_PATH = '/plantainway/readyz'
REPORT_PATH = '/plantainway/report'
RESOLUTION_PATH = '/plantainway/resolution'
TRANSACTION_PATH = '/plantainway/rows-tx'

# Hop-by-hop headers, which apply to one connection and are not forwarded.
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
