"""Whether another process of this sidecar lives: a locked file each in the shared `$TMPDIR`.

Only the lock tells anything. The kernel drops it with the process, however that ends, so what a killed one
has left behind is known for that at once and taken away by whoever looks. What stands in a file is for people
to read: torn, foreign or older contents change nothing.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import json
import os
from pathlib import Path

FORMAT = 1
MOST = 64  # files looked at: a folder full of others' must not cost the loop its time
LIVE, BORN = ".live", ".born"  # a file is locked under its second name before it gets the first


class Presence:
    """This process's file, and a look at those of others that serve the same name."""

    def __init__(self, folder: str, name: str) -> None:
        self._folder = Path(folder)
        self._prefix = f"hollyport-{hashlib.sha256(name.encode()).hexdigest()[:12]}-"
        self._path: Path | None = None
        self._file = -1

    def enter(self) -> None:
        """Show this process; raises OSError where the folder can't be written to."""
        path = self._folder / f"{self._prefix}{os.getpid()}-{os.urandom(4).hex()}{LIVE}"
        born = path.with_suffix(BORN)
        self._file = os.open(born, os.O_CREAT | os.O_EXCL | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.write(self._file, json.dumps({"format": FORMAT, "pid": os.getpid()}).encode())
            os.rename(born, path)
        except OSError:
            self.leave()
            raise
        self._path = path

    def others(self) -> int:
        """How many other processes of this sidecar live. Files of dead ones are removed."""
        alive = 0
        try:
            names = [entry.name for entry in os.scandir(self._folder) if entry.name.startswith(self._prefix)]
        except OSError:
            return 0
        for name in sorted(names)[:MOST]:
            path = self._folder / name
            if path == self._path or not name.endswith((LIVE, BORN)):
                continue
            alive += self._alive(path)
        return alive

    def leave(self) -> None:
        """Take this process's file away."""
        if self._path is not None:
            _unlink(self._path)
            self._path = None
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    @staticmethod
    def _alive(path: Path) -> bool:
        try:
            number = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK)
        except OSError:
            return False  # gone meanwhile, or nothing that a process of ours made
        try:
            fcntl.flock(number, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        else:
            _unlink(path)
            return False
        finally:
            os.close(number)


def _unlink(path: Path) -> None:
    with contextlib.suppress(OSError):  # another has done it, or it is not ours to remove
        os.unlink(path)
