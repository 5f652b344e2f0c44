"""What other nodes say about an engine that this one does not reach."""

import abc

from plantainway import deployment


class BaseLossWitness(abc.ABC):
    """Confirms that an engine is lost, and not just a link to it."""

    @abc.abstractmethod
    async def is_lost(self, upstream: deployment.Upstream) -> bool:
        """Returns whether an engine that does not answer here is lost.

        Args:
            upstream: The engine.
        """


class OwnEvidence(BaseLossWitness):
    """Trusts the links of this node, for a node that has no others to ask."""

    async def is_lost(self, upstream: deployment.Upstream) -> bool:
        """Returns true."""
        return True
