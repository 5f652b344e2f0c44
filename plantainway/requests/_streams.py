"""Validation of streamed answers."""

from plantainway import errors


class AnswerValidator:
    """Checks that the events of one attempt form a complete answer.

    ``position`` is that of the last accepted event, ``has_ended`` is true
    after the end event.

    Args:
        attempt: Id of the attempt whose events are expected.
        position: Position of the last event received before, 0 for none.
        peer: Name of the upstream, for error messages.
    """

    def __init__(self, attempt: str, position: int, peer: str):
        self.attempt = attempt
        self.position = position
        self.has_ended = False
        self._peer = peer

    def accept(self, event) -> bool:
        """Checks the next event; updates ``position`` and ``has_ended``.

        Args:
            event: Chat event.

        Returns:
            Whether to pass the event on. It is dropped if it belongs to
            another attempt or its position was accepted before.

        Raises:
            UpstreamError: If a position was skipped, or the end event does
                not have the position of the last accepted event.
        """
        if event.attempt != self.attempt:
            return False
        if event.end:
            if event.position != self.position:
                raise errors.UpstreamError(
                    f'end event at position {event.position}, '
                    f'expected {self.position}',
                    'stream',
                    self._peer,
                )
            self.has_ended = True
            return True
        if event.position <= self.position:
            return False
        if event.position != self.position + 1:
            raise errors.UpstreamError(
                f'gap: position {event.position} after {self.position}',
                'stream',
                self._peer,
            )
        self.position = event.position
        return True
