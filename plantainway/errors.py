"""Errors of the system, each with a code, a step and a peer."""


class PlantainwayError(Exception):
    """Base of every error raised by this package.

    Args:
        message: Text for people.
        step: Operation during which the error arose.
        peer: Address or name of the other side, empty if there is none.
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
    """The settings file can't be used."""

    code = 'settings_invalid'


class ObjectsInvalidError(PlantainwayError):
    """A set of declared objects is not consistent.

    Args:
        faults: Every fault that was found.
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
            'changed meanwhile: ' + ', '.join(objects), step, peer
        )
        self.objects = objects

    def to_dict(self) -> dict:
        """Returns the error with the names of the objects."""
        return super().to_dict() | {'objects': self.objects}


class NotFoundError(PlantainwayError):
    """The named thing does not exist."""

    code = 'not_found'
    http_status = 404


class BadRequestError(PlantainwayError):
    """The request can't be understood."""

    code = 'bad_request'
    http_status = 400


class UnauthorizedError(PlantainwayError):
    """The key is missing or unknown."""

    code = 'unauthorized'
    http_status = 401


class NotRunError(PlantainwayError):
    """The request was refused and has not run anywhere.

    Args:
        retry_after_s: Seconds after which a new attempt makes sense.
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


class OutcomeUnknownError(PlantainwayError):
    """The request was sent and nobody can tell whether it took effect.

    Args:
        key: Key with which the caller may ask again, or empty.
    """

    code = 'outcome_unknown'
    http_status = 502

    def __init__(
        self, message: str, step: str = '', peer: str = '', key: str = ''
    ):
        super().__init__(message, step, peer)
        self.key = key

    def to_dict(self) -> dict:
        """Returns the error with the key to ask again with."""
        return super().to_dict() | {'key': self.key}


class DeadlineError(PlantainwayError):
    """The caller's deadline passed after the request was sent."""

    code = 'deadline_exceeded'
    http_status = 504


class KeyReusedError(PlantainwayError):
    """An idempotency key came again with another request body."""

    code = 'key_reused'
    http_status = 422


class StoreUnavailableError(PlantainwayError):
    """The table service or the object store gave no usable answer."""

    code = 'store_unavailable'
    http_status = 503


class HistoryLostError(PlantainwayError):
    """The store no longer has the changes after a version."""

    code = 'history_lost'
    http_status = 410


class OutcomeInDoubtError(PlantainwayError):
    """A transaction could not be settled before its deadline."""

    code = 'commit_unknown'
    http_status = 503


class LeaseLostError(PlantainwayError):
    """A lease has lapsed or moved to another holder."""

    code = 'lease_lost'


class UpstreamError(PlantainwayError):
    """An upstream failed or broke its protocol.

    Args:
        sent: Whether any byte of the request may have reached it.
        refused: Whether nobody, or somebody else, listens at its address.
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
    ):
        super().__init__(message, step, peer)
        self.sent = sent
        self.refused = refused


class OrderRefusedError(UpstreamError):
    """An engine refused an order, mostly for its old fencing token."""

    code = 'order_refused'


class ResumeLostError(UpstreamError):
    """The upstream no longer keeps the attempt to resume."""

    code = 'resume_lost'
    http_status = 410


class WireError(PlantainwayError):
    """A peer sent something that the inner protocol does not allow."""

    code = 'wire_invalid'
