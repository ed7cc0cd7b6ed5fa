#!/usr/bin/env bash
# Case 1: a sidecar freezes for 3 s while repeats with keys wait at it, shortly before `key_window` ends.
# Exit codes: 1 the rule TWICE was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
exec python3 "$(dirname "$0")/case.py"
