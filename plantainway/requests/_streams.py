"""Whether a streamed answer is whole and its own caller's."""

from plantainway import errors


class AnswerCheck:
    """Follows the events of one attempt.

    Args:
        attempt: Attempt whose events are awaited.
        position: Position already reached, 0 for none.
        peer: Upstream, for messages.
    """

    def __init__(self, attempt: str, position: int, peer: str):
        self.attempt = attempt
        self.position = position
        self.ended = False
        self._peer = peer

    def take(self, event) -> bool:
        """Takes in one event.

        Args:
            event: Chat event.

        Returns:
            Whether it is to be passed on; events of other attempts and
            positions that were passed before are dropped.

        Raises:
            UpstreamError: If a position is missing.
        """
        if event.attempt != self.attempt:
            return False
        if event.end:
            if event.position != self.position:
                raise errors.UpstreamError(
                    f'end mark at {event.position}, reached {self.position}',
                    'stream',
                    self._peer,
                )
            self.ended = True
            return True
        if event.position <= self.position:
            return False
        if event.position != self.position + 1:
            raise errors.UpstreamError(
                f'position {event.position} after {self.position}',
                'stream',
                self._peer,
            )
        self.position = event.position
        return True
