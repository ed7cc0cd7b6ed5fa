"""What is said over furrows: the kinds of messages (0 and 1 are the furrow's own)."""

from __future__ import annotations

import enum


class Word(enum.IntEnum):
    """Kinds of messages, and what follows the kind in each."""

    BARN = 10  # address, voters, barns: a barn to a barn, first of all and when any of it changes
    STILE = 11  # record: a stile to a barn, first of all and when any of it changes
    BARNS = 12  # addresses of all barns that are known, own zone
    VOTERS = 13  # epoch, addresses: a barn to a stile
    ITEMS = 20  # number, rows of items
    ACK = 21  # number
    BEDS = 22  # records of stiles
    GONE = 23  # node, incarnation
    LIFE = 24  # a barn to a stile: a record of its name and a later life is known
    SYNC = 30  # round, versions by name, token of a writer or nothing
    SYNCED = 31  # round, whether the barn counts and is the writer's, rows of items that were not told
    PUT = 32  # round, rows of items, token of the writer
    HAVE = 33  # round, whether they are on the disk
    OVER = 36  # token: its writer is done
    KEYS = 34  # round
    KEYED = 35  # round, whether the barn counts, rows of grants
    CLAIM = 40  # claim, key, token, seconds left
    CLAIMED = 41  # claim, outcome (-1 can't tell, 0 another's, 1 granted), token, mark, answer
    DONE = 42  # key, token, answer
    BROKE = 43  # key, token
    FREE = 44  # key, token
    ASK = 50  # number, request
    TOLD = 51  # number, fault (0: none), whether a server saw it, status, headers, body, seconds: wait, work
    OVERDUE = 53  # number: its server has worked on it for unusually long
    LEAVING = 52  # record: a stile to those that send to it


class Record(enum.IntEnum):
    """Places in a stile's record."""

    NODE = 0
    LINK = 1
    ZONE = 2
    SERVICE = 3
    INSTANCE = 4
    SLOTS = 5
    OPEN = 6  # whether it takes requests
    COLD = 7  # seconds
    LIFE = 8
    NUMBER = 9
