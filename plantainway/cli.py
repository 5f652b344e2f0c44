"""Command line interface."""

import asyncio
import json
import os
import pathlib
import sys

import fire
import uvloop

from plantainway import client
from plantainway import errors
from plantainway import explain as explanations
from plantainway import keys
from plantainway import logs
from plantainway import node as nodes
from plantainway import objects
from plantainway import sessions
from plantainway import settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2


class UsageError(errors.PlantainwayError):
    """A command was called with invalid arguments."""

    code = 'usage'


def _print(text: str) -> None:
    sys.stdout.write(text + '\n')


def _print_json(value) -> None:
    _print(json.dumps(value, indent=2, ensure_ascii=False))


def _parse_files(files) -> objects.ObjectSet:
    if not files:
        raise UsageError('name at least one FILE', 'arguments')
    parsed, faults = objects.parse_documents(files)
    if faults:
        raise errors.ObjectsInvalidError(faults)
    return parsed


def _object_bodies(parsed) -> list[dict]:
    return [
        json.loads(item.model_dump_json()) for item in parsed.by_id.values()
    ]


def _require_option(value, variable: str, name: str) -> str:
    value = value or os.environ.get(variable, '')
    if not value:
        raise UsageError(f'give --{name} or set {variable}', 'arguments')
    return str(value)


def _read_log(name: str) -> list:
    path = pathlib.Path(name)
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as exc:
        raise UsageError(str(exc), 'read', name)
    parsed = (
        explanations.parse(path.name, line) for line in text.splitlines()
    )
    return [line for line in parsed if line is not None]


class Commands:
    """Serves language models whose replicas span several VMs.

    Exit status: 0 success, 1 failure or a negative result, 2 invalid usage.
    Errors are written to standard error with their code.

    Operator commands take the address of any node's operator API with
    --operator or PLANTAINWAY_OPERATOR, and a key with --key or
    PLANTAINWAY_OPERATOR_KEY. Caller commands take --entry or
    PLANTAINWAY_ENTRY, and --key or PLANTAINWAY_KEY.
    """

    def node(self, settings_file=None, **flags):
        """Runs a node until SIGTERM, then drains and stops it.

        SIGUSR1 writes the state of all tasks to the log.

        Args:
            settings_file: Path of the JSON settings; also --settings.
            flags: --settings FILE.
        """
        path = flags.pop('settings', None) or settings_file
        if not path or flags:
            raise UsageError('node --settings FILE', 'arguments')
        cfg = settings.load(str(path))
        logs.configure(cfg.log_level)
        uvloop.install()
        nodes.run(cfg)
        return EXIT_OK

    def check(self, *files):
        """Validates a complete set of declared objects offline.

        Args:
            files: JSON files, each with an object or a list of objects.
        """
        if not files:
            raise UsageError('check FILE...', 'arguments')
        parsed, faults = objects.parse_documents(files)
        faults = sorted(faults + objects.check_set(parsed))
        if faults:
            raise errors.ObjectsInvalidError(faults)
        _print(f'ok: {len(parsed.by_id)} objects')
        return EXIT_OK

    def explain(self, request, *files):
        """Prints the log lines that explain one request, sorted by time.

        Args:
            request: Id of the request.
            files: Log files of the nodes.
        """
        if not files:
            raise UsageError('explain REQUEST-ID LOGFILE...', 'arguments')
        lines = []
        for name in files:
            lines += _read_log(str(name))
        found = explanations.explain(str(request), lines)
        if not found:
            sys.stderr.write(f'no log line mentions request {request}\n')
            return EXIT_FAILURE
        for line in found:
            _print(str(line))
        return EXIT_OK

    def apply(self, *files, operator=None, key=None, dry_run=False):
        """Publishes declared objects as a new revision.

        Args:
            files: JSON files, each with an object or a list of objects.
            operator: IP:PORT of a node's operator API.
            key: Operator key.
            dry_run: Only validate; publish nothing.
        """
        body = {
            'objects': _object_bodies(_parse_files(files)),
            'dry_run': bool(dry_run),
        }
        return self._print_operator_call(operator, key, 'POST', 'apply', body)

    def diff(self, *files, operator=None, key=None):
        """Prints how files differ from the objects in force.

        Exit status 1 if they differ.

        Args:
            files: JSON files, each with an object or a list of objects.
            operator: IP:PORT of a node's operator API.
            key: Operator key.
        """
        body = {'objects': _object_bodies(_parse_files(files))}
        found = self._call_operator(operator, key, 'POST', 'diff', body)
        for row in found['diff']:
            _print(f'{row["action"]} {row["kind"]}/{row["name"]}')
        return EXIT_FAILURE if found['diff'] else EXIT_OK

    def get(self, kind, name=None, operator=None, key=None):
        """Prints the objects of a kind, or one object.

        Args:
            kind: Kind of the objects.
            name: Name of one object.
            operator: IP:PORT of a node's operator API.
            key: Operator key.
        """
        path = f'objects/{kind}' + (f'/{name}' if name else '')
        return self._print_operator_call(operator, key, 'GET', path)

    def delete(self, kind, name, base=None, operator=None, key=None):
        """Deletes an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            base: Expected version; the call fails if the object has another.
            operator: IP:PORT of a node's operator API.
            key: Operator key.
        """
        return self._print_operator_call(
            operator, key, 'DELETE', f'objects/{kind}/{name}', base=base
        )

    def evidence(
        self, promise=None, since=None, until=None, operator=None, key=None
    ):
        """Prints for each promise whether it is held, broken or not_known.

        Exit status 1 unless all are held.

        Args:
            promise: Name of one promise.
            since: Start of the period, seconds since 1970.
            until: End of the period, seconds since 1970.
            operator: IP:PORT of a node's operator API.
            key: Operator key.
        """
        found = self._call_operator(
            operator,
            key,
            'GET',
            'evidence',
            promise=promise,
            since=since,
            until=until,
        )
        _print_json(found)
        held = all(item['state'] == 'held' for item in found['answers'])
        return EXIT_OK if held else EXIT_FAILURE

    def state(self, node, key=None):
        """Prints the state of a node's tasks.

        Args:
            node: IP:PORT of the node's operator API.
            key: Operator key.
        """
        return self._print_operator_call(node, key, 'GET', 'state')

    def entries(self, entry=None):
        """Prints the node addresses for callers and how long they are valid.

        Args:
            entry: IP:PORT of any node; separate several with commas.
        """

        async def run():
            async with sessions.new_session() as session:
                return await _caller_client(
                    entry, 'none', session
                ).fetch_entries()

        _print_json(asyncio.run(run()))
        return EXIT_OK

    def ask(self, model, text, entry=None, key=None, max_tokens=64):
        """Sends a chat request and streams the answer.

        Takes node addresses from the directory; reconnects and resumes.

        Args:
            model: Name of the model.
            text: Prompt.
            entry: IP:PORT of any node; separate several with commas.
            key: Caller key.
            max_tokens: Maximum number of tokens of the answer.
        """
        body = {
            'model': str(model),
            'messages': [{'role': 'user', 'content': str(text)}],
            'max_tokens': int(max_tokens),
        }
        secret = _require_option(key, 'PLANTAINWAY_KEY', 'key')

        def show(piece):
            sys.stdout.write(piece)
            sys.stdout.flush()

        async def run():
            async with sessions.new_session() as session:
                await _caller_client(entry, secret, session).ask(body, show)

        asyncio.run(run())
        _print('')
        return EXIT_OK

    def key(self, name):
        """Creates a key; prints it with the salted digest to declare.

        Args:
            name: Name of the client account or operator.
        """
        text, digest = keys.create(str(name))
        _print_json({'key': text, 'declare': digest})
        return EXIT_OK

    def demo(self, breach='', log_level='ERROR'):
        """Runs a whole system with stand-ins on free loopback ports.

        Args:
            breach: Breach to inject: double-run or half-group.
            log_level: Lowest level of events to log.
        """
        from plantainway import demo

        if breach and breach not in demo.BREACHES:
            raise UsageError(
                '--breach must be one of ' + ', '.join(demo.BREACHES),
                'arguments',
            )
        logs.configure(log_level)
        uvloop.install()
        return EXIT_OK if asyncio.run(demo.run(breach)) else EXIT_FAILURE

    def standins(self, *files, platform=None):
        """Runs stand-ins for the platform and for declared upstreams.

        Args:
            files: Object files; their upstreams run at the declared addresses.
            platform: IP:PORT for the platform's services.
        """
        from plantainway.standins import _run

        if not platform:
            raise UsageError('standins FILE... --platform=IP:PORT', '')
        uvloop.install()
        asyncio.run(_run.serve(_parse_files(files), str(platform)))
        return EXIT_OK

    def _call_operator(self, operator, key, method, path, body=None, **params):
        address = _require_option(operator, 'PLANTAINWAY_OPERATOR', 'operator')
        secret = _require_option(key, 'PLANTAINWAY_OPERATOR_KEY', 'key')

        async def run():
            async with sessions.new_session() as session:
                return await client.OperatorClient(
                    address, secret, session
                ).call(method, path, body, **params)

        return asyncio.run(run())

    def _print_operator_call(
        self, operator, key, method, path, body=None, **params
    ):
        _print_json(
            self._call_operator(operator, key, method, path, body, **params)
        )
        return EXIT_OK


def _caller_client(entry, key, session) -> client.CallerClient:
    address = _require_option(entry, 'PLANTAINWAY_ENTRY', 'entry')
    return client.CallerClient(address.split(','), key, session)


def main(argv: list[str] | None = None) -> int:
    """Runs one command and reports its errors on standard error.

    Args:
        argv: Arguments, those of the process by default.

    Returns:
        Exit status.
    """
    try:
        status = fire.Fire(
            Commands(),
            command=argv,
            name='plantainway',
            serialize=lambda result: None,
        )
        return status if isinstance(status, int) else EXIT_OK
    except errors.ObjectsInvalidError as exc:
        for fault in exc.faults:
            sys.stderr.write(f'{fault}\n')
        sys.stderr.write(f'{exc}\n')
        return EXIT_FAILURE
    except (UsageError, errors.SettingsError) as exc:
        sys.stderr.write(f'{exc}\n')
        return EXIT_USAGE
    except errors.PlantainwayError as exc:
        sys.stderr.write(f'{exc}\n')
        for fault in getattr(exc, 'body', {}).get('faults', []):
            sys.stderr.write(json.dumps(fault) + '\n')
        return EXIT_FAILURE
    except KeyboardInterrupt:
        return EXIT_FAILURE
