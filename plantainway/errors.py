"""Exceptions, each with a code, the failed operation and the peer."""


class PlantainwayError(Exception):
    """Base of every error raised by this package.

    Args:
        message: Human-readable description.
        step: Operation during which the error occurred.
        peer: Address or name of the remote side, empty if there is none.
    """

    code = 'internal'
    http_status = 500

    def __init__(self, message: str, step: str = '', peer: str = ''):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def to_dict(self) -> dict:
        """Returns the error as it is sent to callers and operators."""
        return {
            'code': self.code,
            'message': self.message,
            'step': self.step,
            'peer': self.peer,
        }

    def __str__(self) -> str:
        text = f'{self.code}: {self.message}'
        if self.step:
            text += f' (step={self.step}'
            text += f' peer={self.peer})' if self.peer else ')'
        return text


class SettingsError(PlantainwayError):
    """The settings file is unreadable or invalid."""

    code = 'settings_invalid'


class ObjectsInvalidError(PlantainwayError):
    """A set of declared objects is not consistent.

    Args:
        faults: All faults found in the set.
    """

    code = 'objects_invalid'
    http_status = 422

    def __init__(self, faults: list, step: str = 'check', peer: str = ''):
        super().__init__(f'{len(faults)} faults', step, peer)
        self.faults = faults

    def to_dict(self) -> dict:
        """Returns the error with its list of faults."""
        return super().to_dict() | {
            'faults': [fault.to_dict() for fault in self.faults]
        }


class ConflictError(PlantainwayError):
    """A change was based on versions that are no longer current.

    Args:
        objects: Names, as ``kind/name``, whose versions differ.
    """

    code = 'conflict'
    http_status = 409

    def __init__(self, objects: list[str], step: str = '', peer: str = ''):
        super().__init__(
            'changed since the base version: ' + ', '.join(objects), step, peer
        )
        self.objects = objects

    def to_dict(self) -> dict:
        """Returns the error with the names of the objects."""
        return super().to_dict() | {'objects': self.objects}


class NotFoundError(PlantainwayError):
    """The named resource does not exist."""

    code = 'not_found'
    http_status = 404


class BadRequestError(PlantainwayError):
    """The request is malformed."""

    code = 'bad_request'
    http_status = 400


class UnauthorizedError(PlantainwayError):
    """The key is missing or unknown, or does not permit the request."""

    code = 'unauthorized'
    http_status = 401


class NotRunError(PlantainwayError):
    """The request was refused and has not run anywhere.

    Args:
        retry_after_s: Seconds to wait before the next attempt.
    """

    code = 'not_run'
    http_status = 503

    def __init__(
        self,
        message: str,
        step: str = '',
        peer: str = '',
        reason: str = 'unavailable',
        retry_after_s: int = 1,
    ):
        super().__init__(message, step, peer)
        self.reason = reason
        self.retry_after_s = retry_after_s
        if reason in ('limit', 'overload'):
            self.http_status = 429

    def to_dict(self) -> dict:
        """Returns the error with its reason and the retry advice."""
        return super().to_dict() | {
            'reason': self.reason,
            'retry_after_s': self.retry_after_s,
        }


class LeaderUnavailableError(PlantainwayError):
    """The leader did not answer."""

    code = 'leader_unavailable'
    http_status = 503


class OutcomeUnknownError(PlantainwayError):
    """The request was sent, but whether it took effect is unknown.

    Args:
        key: Idempotency key to repeat the request with, may be empty.
    """

    code = 'outcome_unknown'
    http_status = 502

    def __init__(
        self, message: str, step: str = '', peer: str = '', key: str = ''
    ):
        super().__init__(message, step, peer)
        self.key = key

    def to_dict(self) -> dict:
        """Returns the error with its idempotency key."""
        return super().to_dict() | {'key': self.key}


class DeadlineError(PlantainwayError):
    """The caller's deadline passed after the request was sent."""

    code = 'deadline_exceeded'
    http_status = 504


class KeyReusedError(PlantainwayError):
    """An idempotency key was reused with a different request body."""

    code = 'key_reused'
    http_status = 422


class StoreUnavailableError(PlantainwayError):
    """The table service or the object store gave no usable answer."""

    code = 'store_unavailable'
    http_status = 503


class HistoryLostError(PlantainwayError):
    """The store has discarded the changes that follow a version."""

    code = 'history_lost'
    http_status = 410


class StoreRestoredError(HistoryLostError):
    """The store came back from a copy; versions known before are void.

    Args:
        took_effect: Whether a write took effect although its conditions were
            meant for versions from before.
    """

    code = 'store_restored'
    http_status = 503

    def __init__(
        self,
        message: str,
        step: str = '',
        peer: str = '',
        took_effect: bool = False,
    ):
        super().__init__(message, step, peer)
        self.took_effect = took_effect


class OutcomeInDoubtError(PlantainwayError):
    """Whether a transaction committed was not known by its deadline."""

    code = 'commit_unknown'
    http_status = 503


class LeaseLostError(PlantainwayError):
    """A lease has expired or is held by another node."""

    code = 'lease_lost'


class UpstreamError(PlantainwayError):
    """An upstream failed or violated its protocol.

    Args:
        sent: Whether any byte of the request may have reached it.
        refused: Whether no process, or that of another upstream, listens at
            its address.
        answered: Whether the error is that of an answer, which shows that the
            upstream is reached.
    """

    code = 'upstream_failed'
    http_status = 502

    def __init__(
        self,
        message: str,
        step: str = '',
        peer: str = '',
        sent: bool = True,
        refused: bool = False,
        answered: bool = False,
    ):
        super().__init__(message, step, peer)
        self.sent = sent
        self.refused = refused
        self.answered = answered


class OrderRefusedError(UpstreamError):
    """An engine refused an order, usually for a stale fencing token."""

    code = 'order_refused'


class ResumeLostError(UpstreamError):
    """The upstream has discarded the attempt to resume."""

    code = 'resume_lost'
    http_status = 410


class WireError(PlantainwayError):
    """A peer sent a message that the peer protocol does not allow."""

    code = 'wire_invalid'
