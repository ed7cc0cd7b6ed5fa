"""Start a program that dies with the kit and holds no more descriptors than it may.

Run by path, so that it imports next to nothing: `python leash.py PARENT DESCRIPTORS PROGRAM [ARGUMENT ...]`.
It becomes the program (execvp), which so has the process id that the kit knows.
"""

from __future__ import annotations

import ctypes
import os
import resource
import signal
import sys

PR_SET_PDEATHSIG = 1  # prctl(2)


def main() -> None:
    parent, descriptors = int(sys.argv[1]), int(sys.argv[2])
    if sys.platform == "linux":
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)
        if os.getppid() != parent:  # it died before the leash was on
            sys.exit(1)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = descriptors if hard == resource.RLIM_INFINITY else min(descriptors, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    try:
        os.execvp(sys.argv[3], sys.argv[3:])
    except OSError as error:
        print(f"cannot start {sys.argv[3]}: {error.strerror}", file=sys.stderr)
        sys.exit(127)


if __name__ == "__main__":
    main()
