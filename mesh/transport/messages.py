"""What is said over connections: the kinds of messages (0 and 1 are the connection's own)."""

from __future__ import annotations

import enum


class MessageKind(enum.IntEnum):
    """Kinds of messages, and what follows the kind in each."""

    # address, voters, controllers, zone, voters before, whole, lives, those forgotten: a controller to
    # a controller,
    CONTROLLER = 10
    # first of all and when any of it changes
    # record, version (first of all): a sidecar to a controller, first of all and when any of it changes
    SIDECAR = 11
    # digest of own items: a sidecar to the one controller that it hears whole tables and changes from
    FOLLOW = 14
    SUM = 15  # digest of the items that may be told: a controller to a sidecar
    PULL = 16  # versions by name: a sidecar to a controller, for what it lacks of them
    CONTROLLERS = 12  # addresses of all controllers that are known, own zone, lives, those forgotten
    VOTERS = 13  # epoch, addresses: a controller to a sidecar
    ITEMS = 20  # number, rows of items
    ACK = 21  # number
    ENDPOINTS = 22  # records of sidecars
    GONE = 23  # node, incarnation
    LIFE = 24  # a controller to a sidecar: a record of its name and a later life is known
    PREPARE = 30  # round, epoch, ballot, digests of buckets: a proposer to the voters
    PROMISE = 31  # round, yes, epoch, number promised, sequence, draft, items that the proposer lacks
    ACCEPT = 32  # round, epoch, ballot, sequence, items, all items where the voter is behind
    ACCEPTED = 33  # round, whether it is on the disk, epoch
    COMMIT = 36  # ballot, sequence, items: a change was chosen
    ABANDON = 37  # proposer: it proposes nothing under its ballot
    FETCH = 38  # round, epoch, whether sealed ones are asked, digests of buckets
    FETCHED = 39  # round, whether it votes (or is sealed), epoch, sequence, items, draft, ballot promised
    KEYS = 34  # round, epoch, whether sealed ones are asked
    KEYED = 35  # round, whether the controller votes (or is sealed), rows of grants, epoch, ballot promised
    CLAIM = 40  # claim, key, token, seconds left, epoch from the second on
    CLAIMED = 41  # claim, outcome (-1 can't tell, 0 another's, 1 granted), token, mark, answer
    DONE = 42  # key, token, answer
    BROKE = 43  # key, token
    FREE = 44  # key, token
    BID = 60  # round, epoch, ballot
    BOUND = 61  # round, yes, epoch, number promised, what was accepted: ballot, names
    SEAL = 62  # round, epoch, ballot, names of the next epoch's voters
    SEALED = 63  # round, yes, epoch, number promised
    SIGHT = 64  # round, epoch
    SEEN = 65  # round, epoch, and what a `ballot.PeerView` holds
    HEIR = 66  # epoch, address: who has the duty from now on
    FORGOTTEN = 67  # life: a controller to one that was forgotten with that life
    PULSE = 68  # number, epoch: a controller to every other, at short intervals
    PULSED = 69  # number, epoch, whether the controller votes in it, digest of its items, sequence
    # whether a controller is in contact with a majority of the voters: a controller to a sidecar
    CURRENT = 70
    ASK = 50  # number, request
    TOLD = 51  # number, fault (0: none), whether a server saw it, status, headers, body, seconds: wait, work
    OVERDUE = 53  # number: its server has worked on it for unusually long
    LEAVING = 52  # record: a sidecar to those that send to it
    WANT = 54  # number, bytes: so much of the body of an ASK may be sent, from its beginning
    PIECE = 55  # number, bytes: the next piece of it
    DROP = 56  # number: its ASK is given up, and the rest will not come
    LOOK = 57  # number, route, size of a body: how a call of a kind would fare
    GLANCE = 58  # number, whether it would be taken, seconds: wait, work, its body on its way


VERSION = 2
"""Of what is said over connections, as a sidecar tells it: from 2 on it follows one controller, takes bodies
in pieces, and answers a LOOK."""


class Record(enum.IntEnum):
    """Places in a sidecar's record."""

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
    VERSION = 10  # of what it understands; an older sidecar tells none
