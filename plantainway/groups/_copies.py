"""Directory of the copies of all shards, built from node reports."""

import dataclasses

from plantainway.groups import _state
from plantainway import wire


def copy_view(copy: _state.Copy) -> wire.CopyView:
    """Returns the wire form of a copy.

    Args:
        copy: The copy to convert.
    """
    return wire.CopyView(
        copy.copy_id,
        copy.group,
        copy.version,
        copy.token,
        str(copy.state),
        [[member.vm, member.boot] for member in copy.members],
        copy.row_version,
    )


@dataclasses.dataclass(slots=True)
class _ShardCopies:
    token: int
    node: str
    copies: dict


class CopyDirectory:
    """Copies of all shards, each as reported by its newest lease holder."""

    def __init__(self):
        self._shards: dict[str, _ShardCopies] = {}

    def add_report(self, report: wire.NodeReport) -> None:
        """Replaces the copies of the shards that a node holds.

        A shard is skipped if a holder with a higher token is known. The
        copies of a shard stay known after its holder is gone, until the next
        holder reports.

        Args:
            report: Newest report of the node.
        """
        for shard, token in report.shards.items():
            known = self._shards.get(shard)
            if known is None or token >= known.token:
                prefix = f'{shard}-c'
                self._shards[shard] = _ShardCopies(
                    token,
                    report.node,
                    {
                        name: copy
                        for name, copy in report.copies.items()
                        if name.startswith(prefix)
                        and name[len(prefix) :].isdigit()
                    },
                )

    def iter_with_shard(self):
        """Yields ``(shard, copy)`` for every copy known."""
        for shard, known in self._shards.items():
            for copy in known.copies.values():
                yield shard, copy

    def get(self, copy_id: str) -> wire.CopyView | None:
        """Returns a copy, or ``None`` if it is not known.

        Args:
            copy_id: Id of the copy.
        """
        known = self._shards.get(copy_id.rpartition('-c')[0])
        return known.copies.get(copy_id) if known else None
