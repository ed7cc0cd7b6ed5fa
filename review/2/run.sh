#!/usr/bin/env bash
# Case 2: the address of a server that has ended is given to a server of another service.
# Exit codes: 1 the rule ROUTE was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
exec python3 "$(dirname "$0")/case.py"
