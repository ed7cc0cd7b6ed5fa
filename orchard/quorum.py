"""Who holds the copies, and how many of them must. No I/O."""

from __future__ import annotations

from typing import NamedTuple


class Voters(NamedTuple):
    """The barns whose disks count, of one epoch."""

    epoch: int
    names: tuple[str, ...]  # addresses of their furrows, sorted

    @property
    def write(self) -> int:
        """Disks that must hold a thing: any two such sets share one, also after the losses allowed."""
        return len(self.names) // 2 + 1

    @property
    def read(self) -> int:
        """Barns with whole disks to hear from, so that nothing acknowledged can be missing: so many meet each
        set that a write went to, also where others of that set have lost their disks."""
        return len(self.names) - self.write + 1

    def newer(self, other: Voters | None) -> bool:
        """Whether it follows another."""
        return other is None or (self.epoch, self.names) > (other.epoch, other.names)


NOBODY = Voters(0, ())
