"""Copies of all shards, as their controllers report them."""

import dataclasses

from plantainway.groups import _state
from plantainway import wire


def copy_view(copy: _state.Copy) -> wire.CopyView:
    """Returns a copy as it is sent to other nodes.

    Args:
        copy: The copy.
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
    """Copies of all shards, each from the newest holder of its lease."""

    def __init__(self):
        self._shards: dict[str, _ShardCopies] = {}

    def add_report(self, report: wire.NodeReport) -> None:
        """Takes in the copies that a node controls.

        Args:
            report: Its newest report.
        """
        for shard, token in report.shards.items():
            held = self._shards.get(shard)
            if held is None or token >= held.token:
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
        """Yields ``(shard, copy)`` pairs."""
        for shard, held in self._shards.items():
            for copy in held.copies.values():
                yield shard, copy

    def get(self, copy_id: str) -> wire.CopyView | None:
        """Returns one copy.

        Args:
            copy_id: Name of the copy.
        """
        held = self._shards.get(copy_id.rpartition('-c')[0])
        return held.copies.get(copy_id) if held else None
